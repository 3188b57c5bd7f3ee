"""Requests of workers to the leader."""

from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.ids import WorkerId
from hornbeamstair_core.requests import Request
from hornbeamstair_upstreams.work.messages import Announced

__all__ = ('AnnounceWorker', 'WithdrawWorker')


@frozen
class AnnounceWorker(Request):
    """Take a worker's word of itself."""

    kind: ClassVar[str] = 'announce_worker'

    announced: Announced

    def get_subject(self) -> str:
        """Get the worker."""
        return self.announced.worker


@frozen
class WithdrawWorker(Request):
    """Take a worker's word that it ends now."""

    kind: ClassVar[str] = 'withdraw_worker'

    worker: WorkerId

    def get_subject(self) -> str:
        """Get the worker."""
        return self.worker
