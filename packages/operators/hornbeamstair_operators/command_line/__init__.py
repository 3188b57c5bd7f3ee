"""Command line hornbeamstair of the operators."""
