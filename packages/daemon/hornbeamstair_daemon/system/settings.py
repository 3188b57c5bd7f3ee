"""Settings of a process that finds the others from seed addresses."""

from pathlib import Path

from attrs import frozen

from hornbeamstair_core.front_end import Listener
from hornbeamstair_core.ids import ZoneName
from hornbeamstair_upstreams.work.leases import LeaseTerms

__all__ = ('SystemSettings',)


@frozen
class SystemSettings:
    """Settings that all roles share."""

    # Name for people; the identity is the address of the listener.
    label: str
    zone: ZoneName
    listener: Listener
    # Listeners of processes that may be voters.
    seeds: tuple[Listener, ...]
    # The whole system starts for the first time.
    bootstrap: bool
    data_folder: Path | None
    # Machines with a disk that may be lost at the same time.
    losses: int
    lease: LeaseTerms
    # Time from a stop signal until the process is killed, in seconds.
    grace_seconds: float
    metrics: Listener | None
