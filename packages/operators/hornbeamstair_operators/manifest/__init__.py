"""Manifest: the queues of jobs and the services whose workers run them."""
