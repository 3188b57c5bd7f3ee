"""Processes that a learner can be fed by."""

from attrs import frozen

from hornbeamstair_core.ids import ProcessId, ZoneName

__all__ = ('Member',)


@frozen
class Member:
    """Process of the system, its zone and whether it votes."""

    process: ProcessId
    zone: ZoneName
    is_voter: bool
