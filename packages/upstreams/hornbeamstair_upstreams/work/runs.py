"""Run of a task as the holder of its worker sees it."""

from enum import Enum
from typing import Final

from attrs import define

from hornbeamstair_core.ids import TaskId
from hornbeamstair_upstreams.work.messages import RunEnd, TaskNeeds

__all__ = ('EndedRun', 'Run', 'RunState', 'UNSURE_STATES')


class RunState(Enum):
    """What is known of a run."""

    # Recorded by an earlier holder; the worker was not asked yet.
    inherited = 'inherited'
    # Being recorded; no order was sent.
    recorded = 'recorded'
    # Ordered; the order has no answer yet.
    ordered = 'ordered'
    # An order to start had no answer: it may be carried out later.
    unanswered = 'unanswered'
    # Seen at work, or the worker said so.
    running = 'running'
    # Told to stop; its end is not listed yet.
    stopping = 'stopping'


# The order to start may be carried out by any life of the worker; that of an
# earlier holder only until the worker has seen a newer token.
UNSURE_STATES: Final = frozenset(
    (RunState.inherited, RunState.ordered, RunState.unanswered),
)


@define(eq=False)
class Run:
    """Run that takes room on a worker."""

    task: TaskId
    run: int
    needs: TaskNeeds
    # Tasks of the same phase of the same occurrence.
    group: str
    state: RunState
    started_at: float
    checkpoint: str = ''
    ticket: str = ''
    # A look that began later and does not list the run proves its end.
    settled_at: float | None = None
    # The first look after the last one that listed the run.
    missed_at: float | None = None
    percent: float = 0
    ordered_at: float = 0
    is_stop_wanted: bool = False
    # An order to start had no answer, whatever the later ones said.
    may_come_late: bool = False


@define(eq=False)
class EndedRun:
    """End of a run that is to be recorded."""

    run: Run
    end: RunEnd
    checkpoint: str
