"""State machine of replicated tables."""
