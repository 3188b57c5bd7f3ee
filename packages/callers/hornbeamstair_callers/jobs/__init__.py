"""Jobs of callers: accepted, run step by step, and reported on."""
