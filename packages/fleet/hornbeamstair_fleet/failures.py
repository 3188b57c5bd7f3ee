"""Result codes of hosts and pools."""

from attrs import frozen

from hornbeamstair_core.failures import Failure, register_failure

__all__ = ('HostTakenFailure', 'WaveUnknownFailure')


@register_failure
@frozen
class HostTakenFailure(Failure):
    """Host that belongs to another pool."""

    number = 6001
    name = 'host_taken'
    summary = 'A host belongs to another pool already.'
    http_status = 409

    host: str
    pool: str


@register_failure
@frozen
class WaveUnknownFailure(Failure):
    """Wave that was never declared."""

    number = 6002
    name = 'wave_unknown'
    summary = 'No such wave was declared.'
    http_status = 404

    wave: int
