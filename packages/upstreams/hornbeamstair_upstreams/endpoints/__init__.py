"""Clients for orders to workers."""
