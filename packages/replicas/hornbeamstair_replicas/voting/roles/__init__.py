"""Roles of a voter."""
