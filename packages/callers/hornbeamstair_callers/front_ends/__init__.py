"""Protocols through which callers reach the system."""
