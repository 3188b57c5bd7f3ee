"""Upstreams that announce themselves to hornbeamstair."""
