"""Native worker protocol: orders as JSON over HTTP."""

from typing import Any, ClassVar, Final, TypeVar

from attrs import define, field
from cattrs import BaseValidationError

from hornbeamstair_core.codec import json_converter
from hornbeamstair_upstreams.endpoints.order_client import (
    HttpOrder,
    OrderClient,
    OrderExpiredError,
    OrderUndeliveredError,
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

    async def poll(self, order: PollOrder, valid_until: float) -> PollAnswer:
        """Poll a worker: renew its lease, get its runs and their ends."""
        seconds = _ORDER_TIMEOUT_SECONDS + order.wait_seconds
        return await self._post(
            order,
            POLL_PATH,
            PollAnswer,
            valid_until,
            seconds,
            is_long_poll=True,
        )

    async def start(
        self,
        order: StartOrder,
        valid_until: float,
    ) -> OrderAnswer:
        """Start a run."""
        return await self._post(order, START_PATH, OrderAnswer, valid_until)

    async def stop(
        self,
        order: StopOrder,
        valid_until: float,
    ) -> OrderAnswer:
        """Stop a run."""
        return await self._post(order, STOP_PATH, OrderAnswer, valid_until)

    async def close(self) -> None:
        """Close the connections."""
        self.client.close()

    async def _post(
        self,
        order: Any,
        path: str,
        answer_class: type[Answer],
        valid_until: float,
        seconds: float = _ORDER_TIMEOUT_SECONDS,
        *,
        is_long_poll: bool = False,
    ) -> Answer:
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
                    valid_until,
                ),
            )
            if reply.status == _HTTP_OK:
                return json_converter.loads(reply.body, answer_class)
        except OrderExpiredError:
            return answer_class(OrderOutcome.unsent)
        except OrderUndeliveredError:
            return answer_class(OrderOutcome.undelivered)
        except _NO_ANSWER_ERRORS:
            # No answer or an unreadable one.
            return answer_class(OrderOutcome.unknown)
        return answer_class(OrderOutcome.unknown)
