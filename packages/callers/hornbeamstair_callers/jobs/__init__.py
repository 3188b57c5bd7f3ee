"""Jobs of callers: acceptance, scheduling and reporting."""
