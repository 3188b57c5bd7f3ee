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
    summary = 'The entry could not be committed.'
    http_status = 503
    may_have_run = True

    reason: str


@register_failure
@frozen
class StorageFailure(Failure):
    """Storage that can no longer be written."""

    number = 5002
    name = 'storage_failed'
    summary = 'The storage of the log failed; the voter has stopped.'
    http_status = 503
    may_have_run = True

    reason: str


@register_failure
@frozen
class NotLeaderFailure(Failure):
    """Entry proposed to a voter that does not lead."""

    number = 5003
    name = 'not_leader'
    summary = 'Another voter leads, or none does; nothing was committed.'
    http_status = 503

    leader: str


@register_failure
@frozen
class MembershipFailure(Failure):
    """Change of the voters that is not possible now."""

    number = 5004
    name = 'membership_refused'
    summary = 'The voters cannot be changed like this now.'
    http_status = 409

    reason: str
