"""Load generator: closed-loop callers over keep-alive connections."""

from asyncio import (
    IncompleteReadError,
    StreamReader,
    StreamWriter,
    gather,
    open_connection,
)
from collections import Counter
from time import perf_counter
from typing import Final

from attrs import define, field, frozen

__all__ = ('LoadPlan', 'LoadReport', 'run_load')

_HEADERS_END: Final = b'\r\n\r\n'
_MILLISECONDS_PER_SECOND: Final = 1000


@frozen
class LoadPlan:
    """Number of concurrent callers and how long they send calls.

    The calls have idempotency keys if a key prefix is set.
    """

    port: int
    path: str
    customer: str
    callers: int
    seconds: float
    key_prefix: str = ''


@define
class LoadReport:
    """Number of responses by status, and their latencies in seconds."""

    seconds: float
    statuses: Counter[int] = field(factory=Counter)
    latencies: list[float] = field(factory=list)

    def get_rate(self) -> float:
        """Return the calls answered per second."""
        return len(self.latencies) / self.seconds

    def get_quantile(self, fraction: float) -> float:
        """Return a quantile of the latency in milliseconds."""
        ordered = sorted(self.latencies)
        position = min(int(len(ordered) * fraction), len(ordered) - 1)
        return ordered[position] * _MILLISECONDS_PER_SECOND


async def run_load(plan: LoadPlan) -> LoadReport:
    """Send calls for the planned time and report the responses."""
    report = LoadReport(plan.seconds)
    end_time = perf_counter() + plan.seconds
    await gather(
        *(
            _send_calls(plan, report, end_time, caller)
            for caller in range(plan.callers)
        ),
    )
    return report


async def _send_calls(
    plan: LoadPlan,
    report: LoadReport,
    end_time: float,
    caller: int,
) -> None:
    reader, writer = await open_connection('127.0.0.1', plan.port)
    sent = 0
    while perf_counter() < end_time:
        sent += 1
        sent_at = perf_counter()
        status = await _send_call(reader, writer, plan, f'{caller}-{sent}')
        report.latencies.append(perf_counter() - sent_at)
        report.statuses[status] += 1
    writer.close()


async def _send_call(
    reader: StreamReader,
    writer: StreamWriter,
    plan: LoadPlan,
    suffix: str,
) -> int:
    key = (
        f'Idempotency-Key: {plan.key_prefix}-{suffix}\r\n'
        if plan.key_prefix
        else ''
    )
    writer.write(
        (
            f'POST {plan.path} HTTP/1.1\r\nHost: loopback\r\n'
            f'Hornbeamstair-Customer: {plan.customer}\r\n{key}'
            'Content-Length: 2\r\n\r\n{}'
        ).encode(),
    )
    head = (await reader.readuntil(_HEADERS_END)).decode('latin-1').lower()
    length = int(head.partition('content-length:')[2].partition('\r')[0])
    body = await reader.readexactly(length)
    if len(body) < length:
        raise IncompleteReadError(body, length)
    return int(head.split()[1])
