"""Admission of jobs: which are accepted, and when others may return."""
