"""Replicated state of the processes of hornbeamstair."""
