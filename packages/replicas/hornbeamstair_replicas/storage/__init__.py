"""Storage of log entries, votes and snapshots."""
