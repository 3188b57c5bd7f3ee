"""Stand-ins, load tool, benches and demonstrations."""
