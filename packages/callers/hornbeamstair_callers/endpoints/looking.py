"""Looks at the workers of one holder."""

from asyncio import Task, create_task, sleep
from collections.abc import Callable
from typing import Final

from attrs import define, field

from hornbeamstair_core.metrics import Metrics
from hornbeamstair_upstreams.work.messages import HoldAnswer, OrderOutcome
from hornbeamstair_upstreams.work.sender import WorkerSender
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('WorkerLooks',)

_RETRY_SECONDS: Final = 0.25
_COMMIT_PAUSE_SECONDS: Final = 0.01
# The lease of a leader that lapsed for a moment may be renewed.
_LEASE_PAUSE_SECONDS: Final = 0.05


@define(eq=False)
class WorkerLooks:
    """Looks without a pause, one at a time for each worker."""

    sender: WorkerSender
    metrics: Metrics
    get_time: Callable[[], float]
    leads: Callable[[], bool]
    is_known: Callable[[WorkerSession], bool]
    note: Callable[[WorkerSession, HoldAnswer, float], None]
    tasks: 'dict[WorkerSession, Task[None]]' = field(factory=dict, init=False)

    def keep(self, session: WorkerSession) -> None:
        """Look at a worker from now on, if nothing does so."""
        if session not in self.tasks:
            looking = create_task(self._keep_looking(session))
            self.tasks[session] = looking
            looking.add_done_callback(lambda _: self.tasks.pop(session, None))

    def drop(self) -> None:
        """Look at no worker any more."""
        for looking in list(self.tasks.values()):
            looking.cancel()

    async def _keep_looking(self, session: WorkerSession) -> None:
        while self.is_known(session):
            pause = self._get_pause(session)
            if pause:
                await sleep(pause)
            else:
                await self._look(session)

    def _get_pause(self, session: WorkerSession) -> float:
        if not self.leads():
            return _LEASE_PAUSE_SECONDS
        # A look before the commit would list the same ends again.
        return 0 if session.numbers.is_recorded() else _COMMIT_PAUSE_SECONDS

    async def _look(self, session: WorkerSession) -> None:
        began = self.get_time()
        answer = await self.sender.hold(session.get_hold(began))
        self.note(session, answer, began)
        if answer.outcome != OrderOutcome.done:
            self.metrics.count_retry(f'look_{answer.outcome.value}')
            await sleep(_RETRY_SECONDS)
