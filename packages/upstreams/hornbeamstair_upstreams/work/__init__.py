"""Worker sessions, leases, and the placement of tasks on workers."""
