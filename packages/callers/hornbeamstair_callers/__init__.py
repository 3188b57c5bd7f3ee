"""Calls of the callers of hornbeamstair."""
