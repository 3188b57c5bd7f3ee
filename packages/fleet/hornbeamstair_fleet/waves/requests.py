"""Requests of operators about waves."""

from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.ids import HostId
from hornbeamstair_core.requests import Reply, Request

__all__ = ('DeclareWave', 'ShowWave', 'WaveReply')


@frozen
class DeclareWave(Request):
    """Declare the maintenance of hosts within a deadline."""

    kind: ClassVar[str] = 'declare_wave'

    number: int
    hosts: tuple[HostId, ...]
    deadline_seconds: float
    max_down: int


@frozen
class ShowWave(Request):
    """Show the progress of a wave."""

    kind: ClassVar[str] = 'show_wave'
    is_read: ClassVar[bool] = True

    number: int


@frozen
class WaveReply(Reply):
    """Progress of a wave."""

    kind: ClassVar[str] = 'wave'

    number: int
    is_complete: bool
