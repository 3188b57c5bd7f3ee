"""Replicated log and state shared by the processes of hornbeamstair."""
