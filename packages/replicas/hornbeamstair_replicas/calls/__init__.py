"""Calls from any process to the leader of a group."""
