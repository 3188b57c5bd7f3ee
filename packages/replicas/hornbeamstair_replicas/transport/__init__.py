"""Transports of messages between the processes of the system."""
