"""Processes of the system, which can feed a learner."""

from attrs import frozen

from hornbeamstair_core.ids import ProcessId, ZoneName

__all__ = ('Member',)


@frozen
class Member:
    """Process of the system."""

    process: ProcessId
    zone: ZoneName
    is_voter: bool
