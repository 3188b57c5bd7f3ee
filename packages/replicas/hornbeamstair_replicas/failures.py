"""Result codes of the replicated log."""

from attrs import frozen

from hornbeamstair_core.failures import Failure, register_failure

__all__ = (
    'MembershipFailure',
    'NotCommittedFailure',
    'NotLeaderFailure',
    'StorageFailure',
)


@register_failure
@frozen
class NotCommittedFailure(Failure):
    """Entry that is not known to be committed."""

    number = 5001
    name = 'not_committed'
    summary = 'The entry is not known to be committed.'
    http_status = 503
    may_have_run = True

    reason: str


@register_failure
@frozen
class StorageFailure(Failure):
    """Log storage that has failed and was not opened again."""

    number = 5002
    name = 'storage_failed'
    summary = 'The storage of the log fails; the voter takes no part.'
    http_status = 503
    may_have_run = True

    reason: str


@register_failure
@frozen
class NotLeaderFailure(Failure):
    """Request to a process that is not the leader."""

    number = 5003
    name = 'not_leader'
    summary = 'Another voter leads, or none does; nothing was committed.'
    http_status = 503

    leader: str


@register_failure
@frozen
class MembershipFailure(Failure):
    """Change of the voters that was refused."""

    number = 5004
    name = 'membership_refused'
    summary = 'The requested change of the voters is not possible now.'
    http_status = 409

    reason: str
