"""Decisions by which voters agree on one log."""
