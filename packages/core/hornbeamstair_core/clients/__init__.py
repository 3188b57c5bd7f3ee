"""What a process accepts from clients that nobody controls."""
