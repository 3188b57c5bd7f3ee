"""Maintenance waves: which machine goes down when."""
