"""Event log of placed and ended runs."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final

from attrs import define, field

from hornbeamstair_callers.jobs.run_events import (
    RunsEndedEvent,
    RunsPlacedEvent,
)
from hornbeamstair_core.events import log_event
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_upstreams.work.runs import EndedRun, Run

__all__ = ('RunEventLog',)

# At most 50 lines of an event per second, a third of its rate limit.
_BUFFER_SECONDS: Final = 0.02
# Keeps lines below 16 KiB, the longest that common collectors do not split.
_MAX_RUNS_PER_LINE: Final = 80


@define(eq=False)
class RunEventLog:
    """Buffers placements and ends of runs to write few, long lines."""

    fencing_token: int
    placed: list[Mapping[str, Any]] = field(factory=list)
    ended: list[Mapping[str, Any]] = field(factory=list)
    # Time of the first buffered decision.
    buffered_since: float | None = None

    def add_placed(
        self,
        chosen: Iterable[tuple[str, Run]],
        wait_seconds: float,
        unplaced_count: int,
        now: Moment,
    ) -> None:
        """Buffer the placed runs and the unplaced tasks of a phase."""
        common = {
            'waited_ms': to_milliseconds(wait_seconds),
            'left': unplaced_count,
            'at': round(now.wall, 3),
        }
        self.placed.extend(
            {'task': run.task, 'run': run.run, 'worker': worker, **common}
            for worker, run in chosen
        )
        self._start_buffer(now)

    def add_ended(self, worker: str, ended: EndedRun, now: Moment) -> None:
        """Buffer the end of a run."""
        run = ended.run
        self.ended.append(
            {
                'task': run.task,
                'run': run.run,
                'worker': worker,
                'end': ended.end.value,
                'proof': ended.proof.value,
                'last_state': run.state.value,
                'proven': run.is_proven,
                'open_orders': run.open_orders,
                'age_ms': to_milliseconds(now.monotonic - run.started_at),
                'at': round(now.wall, 3),
            },
        )
        self._start_buffer(now)

    def flush_due(self, now: Moment) -> None:
        """Write the buffered events once the buffer time is over."""
        buffered_since = self.buffered_since
        if (
            buffered_since is not None
            and now.monotonic - buffered_since >= _BUFFER_SECONDS
        ):
            self.flush()

    def flush(self) -> None:
        """Write all buffered events."""
        for ended in _split(self.ended):
            log_event(RunsEndedEvent(self.fencing_token, ended))
        for placed in _split(self.placed):
            log_event(RunsPlacedEvent(self.fencing_token, placed))
        self.ended.clear()
        self.placed.clear()
        self.buffered_since = None

    def _start_buffer(self, now: Moment) -> None:
        if self.buffered_since is None:
            self.buffered_since = now.monotonic


def _split(
    runs: list[Mapping[str, Any]],
) -> Iterator[tuple[Mapping[str, Any], ...]]:
    for begin in range(0, len(runs), _MAX_RUNS_PER_LINE):
        yield tuple(runs[begin : begin + _MAX_RUNS_PER_LINE])
