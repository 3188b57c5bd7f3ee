"""Choice of the processes that feed the learners of a group."""
