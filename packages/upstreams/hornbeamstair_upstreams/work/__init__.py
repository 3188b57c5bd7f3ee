"""Workers that run tasks under leases, and what is placed on them."""
