"""Mutual authentication over a new connection."""

from asyncio import timeout
from typing import Final

from websockets.asyncio.connection import Connection

from hornbeamstair_replicas.transport.handshake import Handshake, make_nonce

__all__ = ('authenticate_as_client', 'authenticate_as_server', 'get_bytes')

_TIMEOUT_SECONDS: Final = 1.0
_CLIENT: Final = 'client'
_SERVER: Final = 'server'


async def authenticate_as_client(connection: Connection, key: bytes) -> bool:
    """Prove the key to the server; return whether the server knows it too.

    Raises TimeoutError or ConnectionClosed if the server does not answer.
    """
    async with timeout(_TIMEOUT_SECONDS):
        server_nonce = get_bytes(await connection.recv())
        client_nonce = make_nonce()
        handshake = Handshake(key, client_nonce, server_nonce)
        await connection.send(client_nonce)
        await connection.send(handshake.prove(_CLIENT))
        proof = get_bytes(await connection.recv())
    return handshake.check(_SERVER, proof)


async def authenticate_as_server(connection: Connection, key: bytes) -> bool:
    """Prove the key to a client that has proved that it knows it.

    Raises TimeoutError or ConnectionClosed if the client does not answer.
    """
    async with timeout(_TIMEOUT_SECONDS):
        server_nonce = make_nonce()
        await connection.send(server_nonce)
        client_nonce = get_bytes(await connection.recv())
        handshake = Handshake(key, client_nonce, server_nonce)
        proof = get_bytes(await connection.recv())
        if not handshake.check(_CLIENT, proof):
            return False
        await connection.send(handshake.prove(_SERVER))
    return True


def get_bytes(payload: bytes | str) -> bytes:
    """Get the bytes of a message, which may have been sent as text."""
    return payload if isinstance(payload, bytes) else payload.encode()
