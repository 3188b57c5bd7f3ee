"""Native worker protocol: orders as JSON over HTTP."""

from typing import Any, ClassVar, Final, TypeVar

from attrs import define, field
from cattrs import BaseValidationError

from hornbeamstair_core.codec import json_converter
from hornbeamstair_upstreams.endpoints.order_client import (
    HttpOrder,
    OrderClient,
    make_worker_client,
)
from hornbeamstair_upstreams.work.messages import (
    OrderAnswer,
    OrderOutcome,
    PollAnswer,
    PollOrder,
    StartOrder,
    StopOrder,
)
from hornbeamstair_upstreams.work.sender import WorkerSender

__all__ = ('HttpWorkerSender', 'POLL_PATH', 'START_PATH', 'STOP_PATH')

POLL_PATH: Final = '/v1/looks'
START_PATH: Final = '/v1/starts'
STOP_PATH: Final = '/v1/stops'

# A healthy worker answers within milliseconds.
_ORDER_TIMEOUT_SECONDS: Final = 0.8
_HTTP_OK: Final = 200
_NO_ANSWER_ERRORS: Final = (
    BaseValidationError,
    OSError,
    RecursionError,
    ValueError,
)

Answer = TypeVar('Answer', PollAnswer, OrderAnswer)


@define(eq=False)
class HttpWorkerSender(WorkerSender):
    """Sender that encodes each order with the fields of its message."""

    name: ClassVar[str] = 'http'

    client: OrderClient = field(factory=make_worker_client)

    async def poll(self, order: PollOrder) -> PollAnswer:
        """Poll a worker: renew its lease, get its runs and their ends."""
        seconds = _ORDER_TIMEOUT_SECONDS + order.wait_seconds
        answer = await self._post(
            order,
            POLL_PATH,
            PollAnswer,
            seconds,
            is_long_poll=True,
        )
        return answer or PollAnswer(OrderOutcome.unknown)

    async def start(self, order: StartOrder) -> OrderAnswer:
        """Start a run."""
        answer = await self._post(order, START_PATH, OrderAnswer)
        return answer or OrderAnswer(OrderOutcome.unknown)

    async def stop(self, order: StopOrder) -> OrderAnswer:
        """Stop a run."""
        answer = await self._post(order, STOP_PATH, OrderAnswer)
        return answer or OrderAnswer(OrderOutcome.unknown)

    async def close(self) -> None:
        """Close the connections."""
        self.client.close()

    async def _post(
        self,
        order: Any,
        path: str,
        answer_class: type[Answer],
        seconds: float = _ORDER_TIMEOUT_SECONDS,
        *,
        is_long_poll: bool = False,
    ) -> Answer | None:
        try:
            reply = await self.client.send(
                HttpOrder(
                    order.address,
                    order.port,
                    'POST',
                    path,
                    (('Content-Type', 'application/json'),),
                    json_converter.dumps(order).encode(),
                    seconds,
                    is_long_poll,
                ),
            )
            if reply.status != _HTTP_OK:
                return None
            return json_converter.loads(reply.body, answer_class)
        except _NO_ANSWER_ERRORS:
            # No answer or an unreadable one: the outcome is unknown.
            return None
