"""Result codes of hosts and pools."""

from attrs import frozen

from hornbeamstair_core.failures import Failure, register_failure

__all__ = ('HostTakenFailure',)


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
