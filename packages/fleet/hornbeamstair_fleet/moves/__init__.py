"""Moves of hosts between pools according to demand."""
