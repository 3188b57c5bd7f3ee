"""Failures of upstream calls and announcements."""

from attrs import frozen

from hornbeamstair_core.failures import Failure, register_failure

__all__ = (
    'AnnouncementConflictFailure',
    'OutcomeUnknownFailure',
    'IncompleteAnswerFailure',
    'UpstreamsUnreachableFailure',
)


@register_failure
@frozen
class AnnouncementConflictFailure(Failure):
    """Announcement of an older incarnation than the registered one."""

    number = 3001
    name = 'announcement_conflict'
    summary = 'A newer incarnation of the upstream is registered.'
    http_status = 409

    upstream: str
    known_incarnation: int


@register_failure
@frozen
class UpstreamsUnreachableFailure(Failure):
    """Call that failed because no upstream could be reached."""

    number = 3002
    name = 'upstreams_unreachable'
    summary = 'No upstream could be reached; the call was not run.'
    http_status = 503

    reason: str


@register_failure
@frozen
class OutcomeUnknownFailure(Failure):
    """Call whose upstream did not answer after the request was sent."""

    number = 3003
    name = 'outcome_unknown'
    summary = 'The upstream did not answer; the call may have run.'
    http_status = 504
    may_have_run = True

    reason: str


@register_failure
@frozen
class IncompleteAnswerFailure(Failure):
    """Call whose answer was truncated or malformed."""

    number = 3004
    name = 'answer_not_whole'
    summary = 'The upstream ran the call but its answer was incomplete.'
    http_status = 502
    may_have_run = True

    reason: str
