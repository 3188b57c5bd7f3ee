"""Operators' changes to the control state."""
