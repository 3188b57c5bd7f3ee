"""Orders to workers that other processes send for the leader."""
