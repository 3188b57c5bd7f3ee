"""Requests of operators about waves."""

from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.ids import HostId
from hornbeamstair_core.requests import Reply, Request

__all__ = ('DeclareWave', 'ShowWave', 'WaveReply')


@frozen
class DeclareWave(Request):
    """Have hosts maintained within some seconds."""

    kind: ClassVar[str] = 'declare_wave'

    number: int
    hosts: tuple[HostId, ...]
    deadline_seconds: float
    max_down: int


@frozen
class ShowWave(Request):
    """Show how far a wave is."""

    kind: ClassVar[str] = 'show_wave'

    number: int


@frozen
class WaveReply(Reply):
    """How far a wave is."""

    kind: ClassVar[str] = 'wave'

    number: int
    is_complete: bool
