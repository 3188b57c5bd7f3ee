"""Sending and serving of the calls to the leader."""
