"""Parts of voter identifiers, which have the form PROCESS/INCARNATION."""

from hornbeamstair_core.ids import ProcessId
from hornbeamstair_replicas.messages import VoterId

__all__ = ('get_address', 'get_process')


def get_process(voter: VoterId) -> ProcessId:
    """Get the process of a voter."""
    return ProcessId(voter.partition('/')[0])


def get_address(process: ProcessId) -> VoterId:
    """Get the voter identifier that addresses any incarnation of a process."""
    return VoterId(f'{process}/')
