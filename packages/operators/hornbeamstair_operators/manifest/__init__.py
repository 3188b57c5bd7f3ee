"""Manifest: the queues of the callers and the services that run them."""
