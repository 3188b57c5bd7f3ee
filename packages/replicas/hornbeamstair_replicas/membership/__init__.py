"""Voters that follow the machines as they come and go."""
