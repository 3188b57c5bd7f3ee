"""Endpoints between the scheduler and its peers: log, workers and hosts."""
