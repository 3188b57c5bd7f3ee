"""Endpoints of both sides: the leader and the processes that send for it."""
