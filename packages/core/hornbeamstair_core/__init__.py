"""Shared types and base classes of hornbeamstair."""
