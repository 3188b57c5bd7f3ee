"""Automatic changes of the voters of a replication group."""
