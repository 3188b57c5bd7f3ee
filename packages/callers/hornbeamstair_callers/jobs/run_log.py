"""Log of the runs that the holder placed and saw end."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final

from attrs import define, field

from hornbeamstair_callers.jobs.events import RunsEndedEvent, RunsPlacedEvent
from hornbeamstair_core.events import log_event
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.units import to_milliseconds
from hornbeamstair_upstreams.work.runs import EndedRun, Run

__all__ = ('RunLog',)

# 50 lines of an event a second at most, a third of its budget.
_GATHER_SECONDS: Final = 0.02
# 16 KiB, the longest line that usual collectors keep whole.
_RUNS_A_LINE: Final = 80


@define(eq=False)
class RunLog:
    """Placements and ends, gathered so that lines are few."""

    fencing_token: int
    placed: list[Mapping[str, Any]] = field(factory=list)
    ended: list[Mapping[str, Any]] = field(factory=list)
    # Time of the first decision that is not written yet.
    began_at: float | None = None

    def note_placed(
        self,
        chosen: Iterable[tuple[str, Run]],
        waited: float,
        left: int,
        now: Moment,
    ) -> None:
        """Note the runs of one phase, and its tasks left without room."""
        common = {
            'waited_ms': to_milliseconds(waited),
            'left': left,
            'at': round(now.wall, 3),
        }
        self.placed.extend(
            {'task': run.task, 'run': run.run, 'worker': worker, **common}
            for worker, run in chosen
        )
        self._begin(now)

    def note_ended(self, worker: str, ended: EndedRun, now: Moment) -> None:
        """Note the end of a run."""
        run = ended.run
        self.ended.append(
            {
                'task': run.task,
                'run': run.run,
                'worker': worker,
                'end': ended.end.value,
                'last_state': run.state.value,
                'age_ms': to_milliseconds(now.steady - run.started_at),
                'at': round(now.wall, 3),
            },
        )
        self._begin(now)

    def flush_due(self, now: Moment) -> None:
        """Write what was gathered for long enough."""
        began = self.began_at
        if began is not None and now.steady - began >= _GATHER_SECONDS:
            self.flush()

    def flush(self) -> None:
        """Write all that was gathered."""
        for ended in _split(self.ended):
            log_event(RunsEndedEvent(self.fencing_token, ended))
        for placed in _split(self.placed):
            log_event(RunsPlacedEvent(self.fencing_token, placed))
        self.ended.clear()
        self.placed.clear()
        self.began_at = None

    def _begin(self, now: Moment) -> None:
        if self.began_at is None:
            self.began_at = now.steady


def _split(
    runs: list[Mapping[str, Any]],
) -> Iterator[tuple[Mapping[str, Any], ...]]:
    for begin in range(0, len(runs), _RUNS_A_LINE):
        yield tuple(runs[begin : begin + _RUNS_A_LINE])
