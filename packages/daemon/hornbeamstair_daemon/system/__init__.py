"""Processes that find each other from a few seed addresses."""
