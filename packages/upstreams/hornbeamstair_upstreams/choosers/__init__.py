"""Ways to choose an upstream for a call."""
