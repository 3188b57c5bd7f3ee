"""Groups of voters that agree on one log."""
