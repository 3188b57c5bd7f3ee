"""Replication groups: processes that agree on the order of one log."""
