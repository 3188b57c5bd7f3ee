"""Raft roles of a voter."""
