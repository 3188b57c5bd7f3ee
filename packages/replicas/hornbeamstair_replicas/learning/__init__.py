"""Decisions by which learners follow a log without a vote."""
