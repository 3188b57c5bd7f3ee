"""Workspaces of callers: keys, limits and shares."""
