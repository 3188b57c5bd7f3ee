"""Endpoints of the calls to the leader."""
