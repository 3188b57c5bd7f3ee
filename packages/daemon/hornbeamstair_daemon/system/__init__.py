"""Processes of the system, which discover each other from seeds."""
