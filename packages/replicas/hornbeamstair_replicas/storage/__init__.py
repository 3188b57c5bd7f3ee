"""Durable storage of log entries, votes and snapshots."""
