"""Load-balancing policies that choose the upstream of a call."""
