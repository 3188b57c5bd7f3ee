"""Requests and replies that list jobs, workers and hosts for operators."""

from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.requests import Reply, Request
from hornbeamstair_fleet.waves.messages import ListedHost

__all__ = (
    'JobRow',
    'JobsReply',
    'ListJobs',
    'ListHosts',
    'ListWorkers',
    'HostsReply',
    'WorkerRow',
    'WorkersReply',
)


@frozen
class ListJobs(Request):
    """List the jobs."""

    kind: ClassVar[str] = 'list_jobs'
    is_read: ClassVar[bool] = True


@frozen
class ListWorkers(Request):
    """List the workers and their observed states."""

    kind: ClassVar[str] = 'list_workers'
    is_read: ClassVar[bool] = True


@frozen
class ListHosts(Request):
    """List the hosts as last reported by the platform."""

    kind: ClassVar[str] = 'list_hosts'
    is_read: ClassVar[bool] = True


@frozen
class JobRow:
    """Job as listed for operators."""

    job: str
    queue: str
    state: str
    tasks: int
    tasks_done: int
    tasks_running: int


@frozen
class WorkerRow:
    """Worker as listed for operators; free CPU in thousandths of a core."""

    worker: str
    service: str
    zone: str
    belief: str
    runs: int
    free_cpu: int


@frozen
class JobsReply(Reply):
    """Jobs in order of acceptance."""

    kind: ClassVar[str] = 'jobs'

    jobs: tuple[JobRow, ...]


@frozen
class WorkersReply(Reply):
    """Workers sorted by name."""

    kind: ClassVar[str] = 'workers'

    workers: tuple[WorkerRow, ...]


@frozen
class HostsReply(Reply):
    """Hosts in the order of the list of the platform."""

    kind: ClassVar[str] = 'hosts'

    hosts: tuple[ListedHost, ...]
