"""Stand-ins, load generator, benchmarks, checks and demonstrations."""
