"""Replicated state made of tables."""
