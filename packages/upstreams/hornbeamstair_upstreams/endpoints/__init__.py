"""Endpoints towards workers."""
