"""Stand-in for a worker: runs tasks under leases and fencing tokens."""

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
from hornbeamstair_core.front_end import HttpFrontEnd, SocketAddress
from hornbeamstair_core.ids import RackName, ServiceName, WorkerId, ZoneName
from hornbeamstair_upstreams.endpoints.http_workers import (
    POLL_PATH,
    START_PATH,
    STOP_PATH,
)
from hornbeamstair_upstreams.work.messages import (
    EndReport,
    OrderAnswer,
    OrderOutcome,
    PollAnswer,
    PollOrder,
    Resources,
    RunEnd,
    RunReport,
    StartOrder,
    StopOrder,
    WorkerAnnouncement,
)

__all__ = ('StandInWorker', 'main')

_MAX_LEASE_SECONDS: Final = 6.0
_TICK_SECONDS: Final = 0.02
_ANNOUNCE_SECONDS: Final = 0.5
_DEFAULT_RUN_SECONDS: Final = 0.2
_RESOURCES: Final = Resources(16000, 32768)


@define(eq=False)
class _Run:
    order: StartOrder
    end_at: float


@define(eq=False)
class StandInWorker(HttpFrontEnd):
    """Worker whose runs only wait; a journal file lists each start."""

    worker: str
    journal: Path
    highest_token: int = 0
    lease_end: float = 0
    runs: dict[str, _Run] = field(factory=dict)
    highest_runs: dict[str, int] = field(factory=dict)
    pending_ends: list[EndReport] = field(factory=list)
    last_end_number: int = 0
    incarnation: int = field(factory=lambda: round(time() * 1000))
    end_event: Event = field(factory=Event)

    def get_app(self) -> ASGIApp:
        """Return the application that handles polls and orders."""
        return Starlette(
            routes=[
                Route(POLL_PATH, self._handle_poll, methods=['POST']),
                Route(START_PATH, self._handle_start, methods=['POST']),
                Route(STOP_PATH, self._handle_stop, methods=['POST']),
            ],
        )

    def make_announcement(self) -> WorkerAnnouncement:
        """Return the announcement of this worker."""
        return WorkerAnnouncement(
            worker=WorkerId(self.worker),
            service=ServiceName('grinding'),
            address=self.listen_address.address,
            port=self.listen_address.port,
            zone=ZoneName('local'),
            room=_RESOURCES,
            labels=('r1',),
            rack=RackName('r1'),
            incarnation=self.incarnation,
            sequence=1,
            is_leaving=False,
        )

    def end_due_runs(self) -> None:
        """End the runs that are due, or all when the lease has expired."""
        now = monotonic()
        for task, active_run in list(self.runs.items()):
            if now > self.lease_end:
                self._end_run(task, RunEnd.lost)
            elif now > active_run.end_at:
                self._end_run(task, RunEnd.done)

    def _end_run(self, task: str, run_end: RunEnd) -> None:
        order = self.runs.pop(task).order
        self.last_end_number += 1
        self.pending_ends.append(
            EndReport(self.last_end_number, order.task, order.run, run_end, ''),
        )
        self.end_event.set()

    def _is_outdated_token(self, fencing_token: int) -> bool:
        """Return whether a token is outdated; remember the highest one."""
        is_outdated = fencing_token < self.highest_token
        self.highest_token = max(self.highest_token, fencing_token)
        return is_outdated

    def _extend_lease(self, lease_end: float | None) -> None:
        if lease_end is not None:
            limit = monotonic() + _MAX_LEASE_SECONDS
            self.lease_end = max(self.lease_end, min(lease_end, limit))

    async def _handle_poll(self, request: Request) -> Response:
        order = json_converter.loads(await request.body(), PollOrder)
        outcome = OrderOutcome.done
        if self._is_outdated_token(order.fencing_token):
            outcome = OrderOutcome.fenced
        self._extend_lease(order.lease_end)
        self.pending_ends = [
            report
            for report in self.pending_ends
            if report.number > order.cursor
        ]
        if not self.pending_ends and order.wait_seconds:
            self.end_event.clear()
            with suppress(TimeoutError):
                async with timeout(order.wait_seconds):
                    await self.end_event.wait()
        running = tuple(
            RunReport(active_run.order.task, active_run.order.run, '', 50, 0)
            for active_run in self.runs.values()
        )
        return _make_response(
            PollAnswer(
                outcome,
                monotonic(),
                self.incarnation,
                running,
                tuple(self.pending_ends),
            ),
        )

    async def _handle_start(self, request: Request) -> Response:
        order = json_converter.loads(await request.body(), StartOrder)
        outcome = self._start_run(order)
        return _make_response(
            OrderAnswer(outcome, monotonic(), self.incarnation)
        )

    def _start_run(self, order: StartOrder) -> OrderOutcome:
        if self._is_outdated_token(order.fencing_token):
            return OrderOutcome.fenced
        self._extend_lease(order.lease_end)
        known = self.runs.get(order.task)
        if known is not None and known.order.run == order.run:
            return OrderOutcome.done
        if order.run <= self.highest_runs.get(order.task, 0):
            return OrderOutcome.old
        if order.lease_end < monotonic():
            return OrderOutcome.late
        self.highest_runs[order.task] = order.run
        seconds = _DEFAULT_RUN_SECONDS
        with suppress(ValueError):
            seconds = float(order.spec)
        self.runs[order.task] = _Run(order, monotonic() + seconds)
        with self.journal.open('a', encoding='utf-8') as target:
            target.write(f'{order.task} {order.run} {self.worker}\n')
        return OrderOutcome.done

    async def _handle_stop(self, request: Request) -> Response:
        order = json_converter.loads(await request.body(), StopOrder)
        outcome = OrderOutcome.done
        if self._is_outdated_token(order.fencing_token):
            outcome = OrderOutcome.fenced
        else:
            highest_run = self.highest_runs.get(order.task, 0)
            self.highest_runs[order.task] = max(highest_run, order.run)
            if order.task in self.runs:
                self._end_run(order.task, RunEnd.lost)
        return _make_response(
            OrderAnswer(outcome, monotonic(), self.incarnation)
        )


def _make_response(answer: Any) -> Response:
    return Response(
        json_converter.dumps(answer),
        media_type='application/json',
    )


async def _announce(worker: StandInWorker, servers: list[str]) -> None:
    body = json_converter.unstructure(worker.make_announcement())
    attempt = 0
    while True:
        client = HTTPClient()
        with suppress(AiosonicError, OSError, ValueError):
            response = await client.post(
                f'{servers[attempt % len(servers)]}/v1/workers',
                json=body,
            )
            await response.content()
        await client.aclose()
        attempt += 1
        await sleep(_ANNOUNCE_SECONDS)


async def _run_until_stopped(worker: StandInWorker, servers: list[str]) -> None:
    stop = Event()
    get_running_loop().add_signal_handler(SIGTERM, stop.set)
    await worker.start()
    announce_task = create_task(_announce(worker, servers))
    while not stop.is_set():
        worker.end_due_runs()
        await sleep(_TICK_SECONDS)
    announce_task.cancel()


def serve(
    servers: Annotated[list[str], Argument(help='Base URLs of the API.')],
    port: Annotated[int, Option(help='Port of the worker.')],
    name: Annotated[str, Option(help='Name of the worker.')],
    journal: Annotated[
        Path, Option(help='File to which each start is appended.')
    ],
) -> None:
    """Run a worker until SIGTERM."""
    listener = SocketAddress('127.0.0.1', port)
    run(
        _run_until_stopped(
            StandInWorker(listener, worker=name, journal=journal), servers
        )
    )


def main() -> None:
    """Run the program."""
    run_program(serve)


if __name__ == '__main__':
    main()
