"""Program that plays a worker: it runs tasks under leases and fencing."""

from asyncio import Event, create_task, get_running_loop, run, sleep, timeout
from contextlib import suppress
from pathlib import Path
from signal import SIGTERM
from time import monotonic, time
from typing import Annotated, Any, Final

from aiosonic import HTTPClient
from aiosonic.exceptions import AiosonicError
from attrs import define, field
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp
from typer import Argument, Option
from typer import run as run_program

from hornbeamstair_core.codec import json_converter
from hornbeamstair_core.front_end import HttpFrontEnd, Listener
from hornbeamstair_core.ids import RackName, ServiceName, WorkerId, ZoneName
from hornbeamstair_upstreams.endpoints.http_workers import (
    LOOK_PATH,
    START_PATH,
    STOP_PATH,
)
from hornbeamstair_upstreams.work.messages import (
    Announced,
    EndReport,
    HoldAnswer,
    HoldOrder,
    OrderAnswer,
    OrderOutcome,
    Room,
    RunEnd,
    RunReport,
    StartOrder,
    StopOrder,
)

__all__ = ('StandInWorker', 'main')

_LONGEST_LEASE: Final = 6.0
_TICK_SECONDS: Final = 0.02
_ANNOUNCE_SECONDS: Final = 0.5
_DEFAULT_RUN_SECONDS: Final = 0.2
_ROOM: Final = Room(16000, 32768)


@define(eq=False)
class _Run:
    order: StartOrder
    ends_at: float


@define(eq=False)
class StandInWorker(HttpFrontEnd):
    """Worker whose runs only wait; a journal keeps each start."""

    worker: str
    journal: Path
    token: int = 0
    lease_end: float = 0
    runs: dict[str, _Run] = field(factory=dict)
    highest: dict[str, int] = field(factory=dict)
    ended: list[EndReport] = field(factory=list)
    last_end: int = 0
    born: int = field(factory=lambda: round(time() * 1000))
    has_ended: Event = field(factory=Event)

    def get_app(self) -> ASGIApp:
        """Get the application that answers orders."""
        return Starlette(
            routes=[
                Route(LOOK_PATH, self._look, methods=['POST']),
                Route(START_PATH, self._start, methods=['POST']),
                Route(STOP_PATH, self._stop, methods=['POST']),
            ],
        )

    def get_announced(self) -> Announced:
        """Get what the worker says of itself."""
        return Announced(
            worker=WorkerId(self.worker),
            service=ServiceName('grinding'),
            address=self.listener.address,
            port=self.listener.port,
            zone=ZoneName('local'),
            room=_ROOM,
            labels=('r1',),
            rack=RackName('r1'),
            incarnation=self.born,
            sequence=1,
            is_leaving=False,
        )

    def advance(self) -> None:
        """End the runs that are over or out of lease."""
        now = monotonic()
        for task, found in list(self.runs.items()):
            if now > self.lease_end:
                self._end(task, RunEnd.lost)
            elif now > found.ends_at:
                self._end(task, RunEnd.done)

    def _end(self, task: str, how: RunEnd) -> None:
        order = self.runs.pop(task).order
        self.last_end += 1
        self.ended.append(
            EndReport(self.last_end, order.task, order.run, how, ''),
        )
        self.has_ended.set()

    def _is_fenced(self, token: int) -> bool:
        is_fenced = token < self.token
        self.token = max(self.token, token)
        return is_fenced

    def _extend(self, lease_end: float | None) -> None:
        if lease_end is not None:
            limit = monotonic() + _LONGEST_LEASE
            self.lease_end = max(self.lease_end, min(lease_end, limit))

    async def _look(self, request: Request) -> Response:
        order = json_converter.loads(await request.body(), HoldOrder)
        outcome = OrderOutcome.done
        if self._is_fenced(order.fencing_token):
            outcome = OrderOutcome.fenced
        self._extend(order.lease_end)
        self.ended = [
            report for report in self.ended if report.number > order.cursor
        ]
        if not self.ended and order.wait_seconds:
            self.has_ended.clear()
            with suppress(TimeoutError):
                async with timeout(order.wait_seconds):
                    await self.has_ended.wait()
        running = tuple(
            RunReport(found.order.task, found.order.run, '', 50, 0)
            for found in self.runs.values()
        )
        return _answer(
            HoldAnswer(
                outcome,
                monotonic(),
                self.born,
                running,
                tuple(self.ended),
            ),
        )

    async def _start(self, request: Request) -> Response:
        order = json_converter.loads(await request.body(), StartOrder)
        outcome = self._take_start(order)
        return _answer(OrderAnswer(outcome, monotonic(), self.born))

    def _take_start(self, order: StartOrder) -> OrderOutcome:
        if self._is_fenced(order.fencing_token):
            return OrderOutcome.fenced
        self._extend(order.lease_end)
        known = self.runs.get(order.task)
        if known is not None and known.order.run == order.run:
            return OrderOutcome.done
        if order.run <= self.highest.get(order.task, 0):
            return OrderOutcome.old
        if order.lease_end < monotonic():
            return OrderOutcome.late
        self.highest[order.task] = order.run
        seconds = _DEFAULT_RUN_SECONDS
        with suppress(ValueError):
            seconds = float(order.spec)
        self.runs[order.task] = _Run(order, monotonic() + seconds)
        with self.journal.open('a', encoding='utf-8') as target:
            target.write(f'{order.task} {order.run} {self.worker}\n')
        return OrderOutcome.done

    async def _stop(self, request: Request) -> Response:
        order = json_converter.loads(await request.body(), StopOrder)
        outcome = OrderOutcome.done
        if self._is_fenced(order.fencing_token):
            outcome = OrderOutcome.fenced
        else:
            highest = self.highest.get(order.task, 0)
            self.highest[order.task] = max(highest, order.run)
            if order.task in self.runs:
                self._end(order.task, RunEnd.lost)
        return _answer(OrderAnswer(outcome, monotonic(), self.born))


def _answer(message: Any) -> Response:
    return Response(
        json_converter.dumps(message),
        media_type='application/json',
    )


async def _announce(worker: StandInWorker, servers: list[str]) -> None:
    body = json_converter.unstructure(worker.get_announced())
    turn = 0
    while True:
        client = HTTPClient()
        with suppress(AiosonicError, OSError, ValueError):
            response = await client.post(
                f'{servers[turn % len(servers)]}/v1/workers',
                json=body,
            )
            await response.content()
        await client.aclose()
        turn += 1
        await sleep(_ANNOUNCE_SECONDS)


async def _serve(worker: StandInWorker, servers: list[str]) -> None:
    stop = Event()
    get_running_loop().add_signal_handler(SIGTERM, stop.set)
    await worker.start()
    announcing = create_task(_announce(worker, servers))
    while not stop.is_set():
        worker.advance()
        await sleep(_TICK_SECONDS)
    announcing.cancel()


def serve(
    servers: Annotated[list[str], Argument(help='Addresses of the API.')],
    port: Annotated[int, Option(help='Port of the worker.')],
    name: Annotated[str, Option(help='Name of the worker.')],
    journal: Annotated[Path, Option(help='File that keeps each start.')],
) -> None:
    """Play a worker until the program is stopped."""
    listener = Listener('127.0.0.1', port)
    run(_serve(StandInWorker(listener, worker=name, journal=journal), servers))


def main() -> None:
    """Run the program."""
    run_program(serve)


if __name__ == '__main__':
    main()
