"""Calls from customers: admission, queues, keys and front ends."""
