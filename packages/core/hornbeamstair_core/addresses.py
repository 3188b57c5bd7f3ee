"""Validation of IP addresses and ports."""

from ipaddress import ip_address
from typing import Final

__all__ = ('MAX_PORT', 'is_ip_address', 'is_port')

MAX_PORT: Final = 65535


def is_ip_address(text: str) -> bool:
    """Return whether a text is an IP address, which needs no name lookup."""
    try:
        ip_address(text)
    except ValueError:
        return False
    return True


def is_port(number: int) -> bool:
    """Return whether a process can listen on a port."""
    return 0 < number <= MAX_PORT
