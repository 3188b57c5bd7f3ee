"""Contracts, limits and the operators of hornbeamstair."""
