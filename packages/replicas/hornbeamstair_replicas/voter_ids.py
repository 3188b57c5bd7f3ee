"""Identifiers of voters: a process and the incarnation of its disk."""

from hornbeamstair_core.ids import ProcessId
from hornbeamstair_replicas.messages import VoterId

__all__ = ('get_address', 'get_process')


def get_process(voter: VoterId) -> ProcessId:
    """Get the process of a voter."""
    return ProcessId(voter.partition('/')[0])


def get_address(process: ProcessId) -> VoterId:
    """Get the address of a process in any incarnation."""
    return VoterId(f'{process}/')
