"""Looks at the workers of one holder."""

from asyncio import Future, Task, create_task, get_running_loop, sleep
from collections.abc import Callable, Iterable
from typing import Final

from attrs import define, field

from hornbeamstair_core.metrics import Metrics
from hornbeamstair_upstreams.work.messages import HoldAnswer, OrderOutcome
from hornbeamstair_upstreams.work.sender import WorkerSender
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('WorkerLooks',)

_RETRY_SECONDS: Final = 0.25


@define(eq=False)
class WorkerLooks:
    """Looks one at a time for each worker, the next once its ends are recorded.

    A look before that would list the same ends again.
    """

    sender: WorkerSender
    metrics: Metrics
    get_time: Callable[[], float]
    leads: Callable[[], bool]
    is_known: Callable[[WorkerSession], bool]
    note: Callable[[WorkerSession, HoldAnswer, float], None]
    tasks: 'dict[WorkerSession, Task[None]]' = field(factory=dict, init=False)
    # Looks that wait for a record, or for the lease of the leader.
    pauses: 'dict[WorkerSession, Future[None]]' = field(
        factory=dict,
        init=False,
    )

    def keep(self, session: WorkerSession) -> None:
        """Look at a worker from now on, if nothing does so."""
        if session not in self.tasks:
            looking = create_task(self._keep_looking(session))
            self.tasks[session] = looking
            looking.add_done_callback(lambda _: self.tasks.pop(session, None))

    def keep_all(self, sessions: Iterable[WorkerSession]) -> None:
        """Look at workers, and go on where looks wait for what has come."""
        for session in sessions:
            self.keep(session)
        for waiting in list(self.pauses):
            self.go_on(waiting)

    def go_on(self, session: WorkerSession) -> None:
        """Have a look that waits find out whether it may begin."""
        pause = self.pauses.get(session)
        if pause is not None and not pause.done():
            pause.set_result(None)

    def drop(self) -> None:
        """Look at no worker any more."""
        for looking in list(self.tasks.values()):
            looking.cancel()

    async def _keep_looking(self, session: WorkerSession) -> None:
        while self.is_known(session):
            if session.numbers.is_recorded() and self.leads():
                await self._look(session)
            else:
                await self._pause(session)

    async def _pause(self, session: WorkerSession) -> None:
        pause = get_running_loop().create_future()
        self.pauses[session] = pause
        try:
            await pause
        finally:
            self.pauses.pop(session)

    async def _look(self, session: WorkerSession) -> None:
        began = self.get_time()
        answer = await self.sender.hold(session.get_hold(began))
        self.note(session, answer, began)
        if answer.outcome != OrderOutcome.done:
            self.metrics.count_retry(f'look_{answer.outcome.value}')
            await sleep(_RETRY_SECONDS)
