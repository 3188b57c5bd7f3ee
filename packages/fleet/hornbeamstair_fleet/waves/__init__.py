"""Maintenance waves: when each host goes down."""
