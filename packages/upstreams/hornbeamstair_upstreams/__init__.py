"""Registration, selection, health and clients of upstreams and workers."""
