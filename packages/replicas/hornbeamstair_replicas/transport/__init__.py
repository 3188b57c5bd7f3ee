"""Ways to send messages to the system's other processes."""
