"""Waits of tasks for a better place: the rack of their data or their group."""
