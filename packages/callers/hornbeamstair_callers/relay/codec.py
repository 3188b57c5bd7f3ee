"""CBOR codec of batches of relayed orders and answers.

Rows are encoded by position, since thousands are sent each second.
"""

from collections.abc import Iterable, Sequence
from typing import Any, Final

from expression import Error, Ok, Result

from hornbeamstair_callers.relay.messages import (
    RelayedAnswer,
    RelayedOrder,
    RelayFailure,
    WorkerOrder,
)
from hornbeamstair_core.codec import decode_cbor, encode_cbor
from hornbeamstair_core.failures import Failure, UnreadablePayloadFailure
from hornbeamstair_upstreams.work.messages import (
    EndReport,
    OrderAnswer,
    OrderOutcome,
    PollAnswer,
    PollOrder,
    RunEnd,
    RunReport,
    StartOrder,
    StopOrder,
)

__all__ = (
    'decode_answers',
    'decode_orders',
    'encode_answers',
    'encode_orders',
)

_POLL: Final = 'poll'
_START: Final = 'start'
_STOP: Final = 'stop'
_ORDER: Final = 'order'
_FAILURE: Final = 'failure'
_NO_TEXT: Final = ''
_END_COLUMN: Final = 3
_DECODE_ERRORS: Final = (LookupError, TypeError, ValueError)


def encode_orders(orders: Iterable[RelayedOrder]) -> bytes:
    """Encode a batch of orders, without the texts of the jobs."""
    return encode_cbor(
        [
            (relayed.number, relayed.valid_until, *_get_row(relayed.order))
            for relayed in orders
        ],
    )


def decode_orders(payload: bytes) -> Result[list[RelayedOrder], Failure]:
    """Decode a batch of orders."""
    try:
        return Ok(
            [
                RelayedOrder(number, _make_order(kind, row), valid_until)
                for number, valid_until, kind, *row in decode_cbor(payload)
            ],
        )
    except _DECODE_ERRORS as error:
        return Error(UnreadablePayloadFailure(repr(error)))


def encode_answers(answers: Iterable[RelayedAnswer]) -> bytes:
    """Encode a batch of answers."""
    return encode_cbor(
        [
            (relayed.number, *_get_answer_row(relayed.answer))
            for relayed in answers
        ],
    )


def decode_answers(payload: bytes) -> Result[list[RelayedAnswer], Failure]:
    """Decode a batch of answers."""
    try:
        return Ok(
            [
                RelayedAnswer(number, _make_answer(kind, row))
                for number, kind, *row in decode_cbor(payload)
            ],
        )
    except _DECODE_ERRORS as error:
        return Error(UnreadablePayloadFailure(repr(error)))


def _get_row(order: WorkerOrder) -> Sequence[Any]:
    address = order.worker, order.address, order.port, order.fencing_token
    match order:
        case PollOrder():
            lease = order.cursor, order.wait_seconds, order.lease_end
            return (_POLL, *address, *lease)
        case StartOrder():
            run = order.task, order.run, _NO_TEXT, order.lease_end
            return (_START, *address, *run, order.checkpoint, order.ticket)
    return (_STOP, *address, order.task, order.run)


def _make_order(kind: str, row: list[Any]) -> WorkerOrder:
    if kind == _POLL:
        return PollOrder(*row)
    if kind == _STOP:
        return StopOrder(*row)
    if kind != _START:
        raise ValueError(f'unknown order: {kind!r}')
    return StartOrder(*row)


def _get_answer_row(
    answer: OrderAnswer | PollAnswer | RelayFailure,
) -> Sequence[Any]:
    if isinstance(answer, RelayFailure):
        return _FAILURE, answer.value
    row = answer.outcome.value, answer.clock, answer.incarnation
    if isinstance(answer, OrderAnswer):
        return (_ORDER, *row)
    running = [
        (run.task, run.run, run.checkpoint, run.percent, run.reading)
        for run in answer.running
    ]
    ended = [
        (end.number, end.task, end.run, end.end.value, end.checkpoint)
        for end in answer.ended
    ]
    return (_POLL, *row, running, ended)


def _make_answer(
    kind: str,
    row: list[Any],
) -> OrderAnswer | PollAnswer | RelayFailure:
    if kind == _FAILURE:
        return RelayFailure(*row)
    outcome, clock, incarnation, *lists = row
    if kind == _ORDER:
        return OrderAnswer(OrderOutcome(outcome), clock, incarnation)
    running, ended = lists
    return PollAnswer(
        OrderOutcome(outcome),
        clock,
        incarnation,
        tuple(RunReport(*report) for report in running),
        tuple(map(_make_end, ended)),
    )


def _make_end(row: list[Any]) -> EndReport:
    row[_END_COLUMN] = RunEnd(row[_END_COLUMN])
    return EndReport(*row)
