"""Requests from workers to the leader."""

from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.ids import WorkerId
from hornbeamstair_core.requests import Request
from hornbeamstair_upstreams.work.messages import WorkerAnnouncement

__all__ = ('AnnounceWorker', 'WithdrawWorker')


@frozen
class AnnounceWorker(Request):
    """Request that registers or updates a worker."""

    kind: ClassVar[str] = 'announce_worker'

    announced: WorkerAnnouncement

    def get_subject(self) -> str:
        """Get the worker."""
        return self.announced.worker


@frozen
class WithdrawWorker(Request):
    """Request by which a worker reports that it is terminating."""

    kind: ClassVar[str] = 'withdraw_worker'

    worker: WorkerId

    def get_subject(self) -> str:
        """Get the worker."""
        return self.worker
