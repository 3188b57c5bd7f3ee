"""Moves of machines between pools, as demand asks."""
