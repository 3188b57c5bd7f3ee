"""Result codes of the replicated log."""

from attrs import frozen

from hornbeamstair_core.failures import Failure, register_failure

__all__ = ('NotCommittedFailure', 'StorageFailure')


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
