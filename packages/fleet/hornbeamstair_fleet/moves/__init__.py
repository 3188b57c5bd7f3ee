"""Moves of hosts between pools, as demand asks."""
