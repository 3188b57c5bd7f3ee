"""Mutual proof that two processes share a key."""

import hmac
from hashlib import sha256
from secrets import token_bytes
from typing import Final

from attrs import frozen

__all__ = ('Handshake', 'make_nonce')

_NONCE_BYTES: Final = 32


def make_nonce() -> bytes:
    """Make a challenge that was never used before."""
    return token_bytes(_NONCE_BYTES)


@frozen
class Handshake:
    """Challenges of both sides of a connection."""

    key: bytes
    client_nonce: bytes
    server_nonce: bytes

    def prove(self, side: str) -> bytes:
        """Prove the knowledge of the key for one side."""
        digest = hmac.new(self.key, side.encode(), sha256)
        digest.update(self.client_nonce)
        digest.update(self.server_nonce)
        return digest.digest()

    def check(self, side: str, proof: bytes) -> bool:
        """Check the proof of one side."""
        return hmac.compare_digest(self.prove(side), proof)
