"""Changes that operators make to the control state."""
