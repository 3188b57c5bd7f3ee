"""The fleet: hosts, pools, moves and maintenance waves."""
