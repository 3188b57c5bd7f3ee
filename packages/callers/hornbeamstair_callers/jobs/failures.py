"""Failures of requests about jobs."""

from attrs import frozen

from hornbeamstair_core.failures import Failure, register_failure

__all__ = (
    'AdviceUnsupportedFailure',
    'JobUnknownFailure',
    'QueueUnknownFailure',
)


@register_failure
@frozen
class QueueUnknownFailure(Failure):
    """Host and path that no queue of the manifest matches."""

    number = 2101
    name = 'queue_unknown'
    summary = 'No queue matches this host and path.'
    http_status = 404

    host: str
    path: str
    manifest_version: int


@register_failure
@frozen
class JobUnknownFailure(Failure):
    """Job that was never accepted or whose retention time is over."""

    number = 2102
    name = 'job_unknown'
    summary = 'The job is not known.'
    http_status = 410

    job: str


@register_failure
@frozen
class AdviceUnsupportedFailure(Failure):
    """Job of a queue whose tasks need advice before they start."""

    number = 2103
    name = 'advice_unsupported'
    summary = 'The queue needs advice on workers, which is not supported.'
    http_status = 503

    queue: str
