"""Front ends for callers, one per protocol."""
