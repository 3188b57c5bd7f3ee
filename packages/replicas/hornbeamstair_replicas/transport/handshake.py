"""Mutual authentication of two processes by a shared key."""

import hmac
from hashlib import sha256
from secrets import token_bytes
from typing import Final

from attrs import frozen

__all__ = ('Handshake', 'make_nonce')

_NONCE_BYTES: Final = 32


def make_nonce() -> bytes:
    """Generate a random challenge, which is used once."""
    return token_bytes(_NONCE_BYTES)


@frozen
class Handshake:
    """Shared key and the challenges of both sides of a connection."""

    key: bytes
    client_nonce: bytes
    server_nonce: bytes

    def prove(self, side: str) -> bytes:
        """Compute the proof of one side: an HMAC over both challenges."""
        digest = hmac.new(self.key, side.encode(), sha256)
        digest.update(self.client_nonce)
        digest.update(self.server_nonce)
        return digest.digest()

    def check(self, side: str, proof: bytes) -> bool:
        """Return whether the proof of one side is valid."""
        return hmac.compare_digest(self.prove(side), proof)
