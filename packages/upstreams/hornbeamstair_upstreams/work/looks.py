"""What a look at a worker tells of its runs."""

from collections.abc import Iterable, Iterator
from typing import Final

from hornbeamstair_core.ids import TaskId
from hornbeamstair_upstreams.work.messages import (
    EndReport,
    HoldAnswer,
    OrderOutcome,
    RunReport,
)
from hornbeamstair_upstreams.work.runs import EndedRun, Run, RunState
from hornbeamstair_upstreams.work.session import WorkerSession

__all__ = ('take_look',)

# A worker returns so many ends at a time.
_ENDS_AT_A_TIME: Final = 500


def take_look(
    session: WorkerSession,
    answer: HoldAnswer,
    sent_at: float,
    now: float,
) -> list[EndedRun]:
    """Take the answer to a look; return the ends to record."""
    if session.is_former_life(answer.incarnation):
        # It was held up on its way; its clock and its runs are gone.
        return []
    if answer.outcome == OrderOutcome.other_life:
        return session.end_life(None, now)
    if answer.outcome == OrderOutcome.fenced:
        session.is_fenced = True
    if answer.outcome != OrderOutcome.done:
        session.is_silent = answer.outcome == OrderOutcome.unknown
        return []
    ended: list[EndedRun] = []
    if session.is_new_life(answer.incarnation):
        ended.extend(session.end_life(answer.incarnation, now))
    if session.is_silent or not session.is_synced:
        session.tell_freed()
    session.reached_at = now
    if not session.is_synced:
        session.is_synced = True
        # The look carried our token: no earlier holder's order comes later.
        session.synced_at = sent_at
    session.note_clock(answer.clock, now)
    ended.extend(_take_ends(session, answer.ended))
    listed = {report.task: report for report in answer.running}
    _take_running(session, listed, now)
    if len(answer.ended) < _ENDS_AT_A_TIME:
        missing = _find_missing(session, listed, sent_at)
        ended.extend(session.lose(missing))
    _stop_strays(session, answer.running)
    return ended


def _take_ends(
    session: WorkerSession,
    reports: Iterable[EndReport],
) -> Iterator[EndedRun]:
    for report in reports:
        if report.number <= session.numbers.seen:
            continue
        session.numbers.seen = report.number
        session.stops.pop((report.task, report.run), None)
        run = session.runs.get(report.task)
        if run is None or run.run != report.run:
            continue
        session.remove_run(report.task)
        session.health.note_end(report.end, run.group)
        checkpoint = report.checkpoint or run.checkpoint
        yield EndedRun(run, report.end, checkpoint)


def _take_running(
    session: WorkerSession,
    listed: dict[TaskId, RunReport],
    now: float,
) -> None:
    for task, report in listed.items():
        run = session.runs.get(task)
        if run is None or run.run != report.run:
            continue
        run.missed_at = None
        run.checkpoint = report.checkpoint or run.checkpoint
        run.percent = report.percent
        session.settle(run, RunState.running, now)


def _find_missing(
    session: WorkerSession,
    listed: dict[TaskId, RunReport],
    sent_at: float,
) -> list[TaskId]:
    return [
        task
        for task, run in session.runs.items()
        if task not in listed and _is_over(session, run, sent_at)
    ]


def _stop_strays(
    session: WorkerSession,
    running: Iterable[RunReport],
) -> None:
    """Have runs stopped that nobody counts on any more."""
    for report in running:
        run = session.runs.get(report.task)
        if run is None or run.run != report.run:
            session.want_stray_stop(report.task, report.run)


def _is_over(session: WorkerSession, run: Run, sent_at: float) -> bool:
    """Tell whether a run has ended that a look sent at a time misses.

    A run that is being stopped still takes room, though no look lists it.
    The stop may be of an earlier holder, or may have had no answer.
    """
    is_inherited = run.state == RunState.inherited
    settled_at = session.synced_at if is_inherited else run.settled_at
    if settled_at is None or settled_at >= sent_at:
        return False
    if run.missed_at is None:
        run.missed_at = sent_at
    return run.missed_at + session.terms.stopping < sent_at
