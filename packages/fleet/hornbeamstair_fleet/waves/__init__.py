"""Maintenance waves: which host goes down when."""
