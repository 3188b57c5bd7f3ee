"""Contracts, derived limits, and the operators' API and command line."""
