"""Worker that refuses orders with a lower fencing token than it has seen."""

from time import monotonic

from attrs import define, evolve

from hornbeamstair_upstreams.work.messages import (
    OrderAnswer,
    OrderOutcome,
    PollAnswer,
    PollOrder,
    StartOrder,
    StopOrder,
)
from tests.support.single_leader import ObedientSender

__all__ = ('FencingSender',)


@define(eq=False)
class FencingSender(ObedientSender):
    """Sender to a simulated worker that checks the fencing tokens."""

    incarnation: int = 1
    highest_token: int = 0

    def restart(self) -> None:
        """Forget everything, under the next incarnation."""
        self.incarnation += 1
        self.highest_token = 0
        self.runs.clear()
        self.ends.clear()

    async def poll(self, order: PollOrder, valid_until: float) -> PollAnswer:
        """List the runs and ends unless the token is too low."""
        if self._is_fenced(order.fencing_token):
            return PollAnswer(
                OrderOutcome.fenced, monotonic(), self.incarnation
            )
        answer = await ObedientSender.poll(self, order, valid_until)
        return evolve(answer, incarnation=self.incarnation)

    async def start(self, order: StartOrder, valid_until: float) -> OrderAnswer:
        """Start a run unless the token is too low."""
        if self._is_fenced(order.fencing_token):
            return self._refuse()
        answer = await ObedientSender.start(self, order, valid_until)
        return evolve(answer, incarnation=self.incarnation)

    async def stop(self, order: StopOrder, valid_until: float) -> OrderAnswer:
        """Stop a run unless the token is too low."""
        if self._is_fenced(order.fencing_token):
            return self._refuse()
        answer = await ObedientSender.stop(self, order, valid_until)
        return evolve(answer, incarnation=self.incarnation)

    def _is_fenced(self, token: int) -> bool:
        is_lower = token < self.highest_token
        self.highest_token = max(self.highest_token, token)
        return is_lower

    def _refuse(self) -> OrderAnswer:
        return OrderAnswer(OrderOutcome.fenced, monotonic(), self.incarnation)
