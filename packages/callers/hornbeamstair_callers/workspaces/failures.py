"""Failures of calls that a workspace must authorize."""

from attrs import frozen

from hornbeamstair_core.failures import Failure, register_failure

__all__ = ('KeyUnknownFailure',)


@register_failure
@frozen
class KeyUnknownFailure(Failure):
    """Call to a queue without a key of a workspace in force."""

    number = 2110
    name = 'key_unknown'
    summary = 'The queue needs a key of a workspace that is in force.'
    http_status = 401

    manifest_version: int
