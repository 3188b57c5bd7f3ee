"""Polling of the workers by one leader."""

from asyncio import Future, Task, create_task, get_running_loop, sleep
from collections.abc import Callable, Collection
from functools import partial
from typing import Final

from attrs import define, field

from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.step_failures import log_step_failure
from hornbeamstair_upstreams.work.messages import (
    OrderOutcome,
    PollAnswer,
    PollOrder,
)
from hornbeamstair_upstreams.work.sender import (
    ORDER_VALID_SECONDS,
    WorkerSender,
)
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('WorkerPoller',)

_RETRY_SECONDS: Final = 0.25


@define(eq=False)
class WorkerPoller:
    """Poller of the workers, with one poll at a time for each worker.

    The next poll starts when the ends that the last one reported are
    recorded, since an earlier poll would report the same ends again.
    """

    sender: WorkerSender
    metrics: Metrics
    get_time: Callable[[], float]
    leads: Callable[[], bool]
    is_known: Callable[[WorkerSession], bool]
    on_answer: Callable[[WorkerSession, PollAnswer, float], None]
    tasks: 'dict[WorkerSession, Task[None]]' = field(factory=dict, init=False)
    # Polls that wait for a record or for the lease of the leader.
    waiting_polls: 'dict[WorkerSession, Future[None]]' = field(
        factory=dict,
        init=False,
    )

    def start_polling(self, session: WorkerSession) -> None:
        """Start to poll a worker, unless it is polled already."""
        if session not in self.tasks:
            polling = create_task(self._poll_continuously(session))
            self.tasks[session] = polling
            polling.add_done_callback(partial(self._finish_polling, session))

    def poll_all(self, sessions: Collection[WorkerSession]) -> None:
        """Poll workers, and wake all polls that wait."""
        # Only a failure leaves fewer polls than workers.
        if len(self.tasks) < len(sessions):
            for session in sessions:
                self.start_polling(session)
        for waiting_session in list(self.waiting_polls):
            self.wake_poll(waiting_session)

    def wake_poll(self, session: WorkerSession) -> None:
        """Have a waiting poll check whether it may start."""
        wakeup = self.waiting_polls.get(session)
        if wakeup is not None and not wakeup.done():
            wakeup.set_result(None)

    def cancel_polls(self) -> None:
        """Cancel all polls."""
        for polling in list(self.tasks.values()):
            polling.cancel()

    def _finish_polling(
        self,
        session: WorkerSession,
        polling: 'Task[None]',
    ) -> None:
        self.tasks.pop(session, None)
        error = None if polling.cancelled() else polling.exception()
        if isinstance(error, Exception):
            # The next tick starts it again.
            log_step_failure('polls of workers', error)

    async def _poll_continuously(self, session: WorkerSession) -> None:
        while self.is_known(session):
            if session.is_poll_due(self.get_time()) and self.leads():
                await self._poll(session)
            else:
                await self._wait(session)

    async def _wait(self, session: WorkerSession) -> None:
        wakeup = get_running_loop().create_future()
        self.waiting_polls[session] = wakeup
        try:
            await wakeup
        finally:
            self.waiting_polls.pop(session)

    async def _poll(self, session: WorkerSession) -> None:
        started_at = self.get_time()
        order = session.make_poll(started_at)
        valid_until = started_at + ORDER_VALID_SECONDS
        answer = await self.sender.poll(order, valid_until)
        self.on_answer(session, answer, started_at)
        if answer.outcome != OrderOutcome.done:
            # The prefix is part of the metric's label values.
            self.metrics.count_retry(f'look_{answer.outcome.value}')
            await sleep(_get_retry_seconds(session, order, answer.outcome))


def _get_retry_seconds(
    session: WorkerSession,
    order: PollOrder,
    outcome: OrderOutcome,
) -> float:
    # A poll that was not sent has waited long enough, and one that a start has
    # overtaken is rejected although the worker is well.
    is_overtaken = (
        outcome == OrderOutcome.fenced
        and order.fencing_token != session.fencing_token
    )
    is_unsent = outcome == OrderOutcome.unsent
    return 0 if is_unsent or is_overtaken else _RETRY_SECONDS
