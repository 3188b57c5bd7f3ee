"""Raft consensus between voters, without I/O."""
