"""Loopback ports that concurrent runs do not share."""

from collections.abc import Iterable, Iterator
from errno import EADDRINUSE
from itertools import cycle, islice
from os import getpid
from socket import socket
from typing import Final

from attrs import define, field

__all__ = ('get_free_port',)

_BLOCK_PORTS: Final = 500
# Below the range of ephemeral ports, which outgoing connections use.
_FIRST_PORTS: Final = tuple(range(20000, 32000, _BLOCK_PORTS))


@define(eq=False)
class _OwnedPorts:
    """Block of ports that belongs to this process.

    A port that is free now may be taken by another run before its server
    listens, so each run draws from a block of its own. The first port of the
    block stays bound until the process ends.
    """

    lock: socket | None = None
    candidates: Iterator[int] = field(factory=lambda: cycle(()))

    def get_free(self) -> int:
        """Return the next free port; raise OSError if there is none."""
        if self.lock is None:
            self.lock = _claim_block()
            first = _get_port(self.lock)
            self.candidates = cycle(range(first + 1, first + _BLOCK_PORTS))
        with _bind_first(islice(self.candidates, _BLOCK_PORTS)) as bound:
            return _get_port(bound)


_owned_ports: Final = _OwnedPorts()


def get_free_port() -> int:
    """Return a free loopback port that no other run is given."""
    return _owned_ports.get_free()


def _claim_block() -> socket:
    """Bind the first port of a block that no other run owns."""
    start = getpid() % len(_FIRST_PORTS)
    return _bind_first(_FIRST_PORTS[start:] + _FIRST_PORTS[:start])


def _bind_first(ports: Iterable[int]) -> socket:
    """Bind a socket to the first port that is free."""
    for port in ports:
        candidate_socket = socket()
        try:
            candidate_socket.bind(('127.0.0.1', port))
        except OSError:
            candidate_socket.close()
        else:
            return candidate_socket
    raise OSError(EADDRINUSE, 'no loopback port is free')


def _get_port(bound: socket) -> int:
    port: int = bound.getsockname()[1]
    return port
