"""Proofs that runs have ended."""

from enum import Enum

__all__ = ('EndProof',)


class EndProof(Enum):
    """How the leader knows that a run has ended."""

    # The worker listed the end.
    listed = 'listed'
    # The worker listed neither the run nor its end for long enough.
    unlisted = 'unlisted'
    # The worker refused the start.
    refused = 'refused'
    # The lease has certainly expired. The worker may be up.
    lease_expired = 'lease_expired'
    # A later incarnation of the worker was seen.
    next_incarnation = 'next_incarnation'
    # Another worker has the address.
    other_worker = 'other_worker'
