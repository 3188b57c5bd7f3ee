"""Front ends for every kind of process."""
