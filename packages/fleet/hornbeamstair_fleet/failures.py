"""Failures of requests about pools and waves."""

from attrs import frozen

from hornbeamstair_core.failures import Failure, register_failure

__all__ = ('HostTakenFailure', 'WaveUnknownFailure')


@register_failure
@frozen
class HostTakenFailure(Failure):
    """A host already belongs to another pool."""

    number = 6001
    name = 'host_taken'
    summary = 'The host already belongs to another pool.'
    http_status = 409

    host: str
    pool: str


@register_failure
@frozen
class WaveUnknownFailure(Failure):
    """No wave with this number was declared."""

    number = 6002
    name = 'wave_unknown'
    summary = 'No wave with this number was declared.'
    http_status = 404

    wave: int
