"""Hosts and pools of the fleet."""

from attrs import frozen

from hornbeamstair_core.ids import (
    HostId,
    PoolName,
    RackName,
    ServiceName,
    ZoneName,
)

__all__ = ('Host', 'Pool')


@frozen
class Host:
    """Host of the fleet with its failure domains."""

    host: HostId
    zone: ZoneName
    rack: RackName
    slots: int


@frozen
class Pool:
    """Hosts that serve one service."""

    pool: PoolName
    service: ServiceName
    is_spare: bool
    hosts: tuple[Host, ...]
