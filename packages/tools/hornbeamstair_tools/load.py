"""Small load tool: closed-loop callers over keep-alive connections."""

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

_HEAD_END: Final = b'\r\n\r\n'
_MILLISECONDS: Final = 1000


@frozen
class LoadPlan:
    """Calls to send: how many callers at once, and for how long."""

    port: int
    path: str
    customer: str
    callers: int
    seconds: float
    keys: str = ''


@define
class LoadReport:
    """Answers by status and their latencies in seconds."""

    seconds: float
    statuses: Counter[int] = field(factory=Counter)
    latencies: list[float] = field(factory=list)

    def get_rate(self) -> float:
        """Get the calls answered a second."""
        return len(self.latencies) / self.seconds

    def get_quantile(self, share: float) -> float:
        """Get a quantile of the latency in milliseconds."""
        ordered = sorted(self.latencies)
        position = min(int(len(ordered) * share), len(ordered) - 1)
        return ordered[position] * _MILLISECONDS


async def run_load(plan: LoadPlan) -> LoadReport:
    """Send calls until the time is over and report the answers."""
    report = LoadReport(plan.seconds)
    end = perf_counter() + plan.seconds
    await gather(
        *(
            _send_calls(plan, report, end, number)
            for number in range(plan.callers)
        ),
    )
    return report


async def _send_calls(
    plan: LoadPlan,
    report: LoadReport,
    end: float,
    number: int,
) -> None:
    reader, writer = await open_connection('127.0.0.1', plan.port)
    sent = 0
    while perf_counter() < end:
        sent += 1
        started = perf_counter()
        status = await _call(reader, writer, plan, f'{number}-{sent}')
        report.latencies.append(perf_counter() - started)
        report.statuses[status] += 1
    writer.close()


async def _call(
    reader: StreamReader,
    writer: StreamWriter,
    plan: LoadPlan,
    suffix: str,
) -> int:
    key = f'Idempotency-Key: {plan.keys}-{suffix}\r\n' if plan.keys else ''
    writer.write(
        (
            f'POST {plan.path} HTTP/1.1\r\nHost: loopback\r\n'
            f'Hornbeamstair-Customer: {plan.customer}\r\n{key}'
            'Content-Length: 2\r\n\r\n{}'
        ).encode(),
    )
    head = (await reader.readuntil(_HEAD_END)).decode('latin-1').lower()
    length = int(head.partition('content-length:')[2].partition('\r')[0])
    body = await reader.readexactly(length)
    if len(body) < length:
        raise IncompleteReadError(body, length)
    return int(head.split()[1])
