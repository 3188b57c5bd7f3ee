"""Remote calls from any process to the leader of a replication group."""
