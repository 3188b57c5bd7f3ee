"""Endpoints that join jobs with other peers."""
