"""Settings of a process that discovers the others from seeds."""

from pathlib import Path

from attrs import frozen

from hornbeamstair_core.front_end import SocketAddress
from hornbeamstair_core.ids import ZoneName
from hornbeamstair_upstreams.work.leases import LeaseTerms

__all__ = ('SystemSettings',)


@frozen
class SystemSettings:
    """Settings of a process of any role."""

    # Name in logs and metrics; the identity is the listen address.
    label: str
    zone: ZoneName
    listen_address: SocketAddress
    # Listen addresses of processes that may be voters.
    seeds: tuple[SocketAddress, ...]
    # Whether the whole system starts for the first time.
    bootstrap: bool
    data_folder: Path | None
    # Fault tolerance: hosts with a disk that may fail at the same time.
    losses: int
    lease: LeaseTerms
    # Time between a stop signal and the kill of the process.
    grace_seconds: float
    metrics: SocketAddress | None
    # A run takes this many times as long on another rack than that of its data
    # or its group; 1 if all racks are as good.
    rack_factor: float = 1
