"""Processing of the answers to polls of workers."""

from collections.abc import Iterable, Iterator
from typing import Final

from hornbeamstair_core.ids import TaskId
from hornbeamstair_upstreams.work.messages import (
    UNANSWERED_OUTCOMES,
    EndReport,
    OrderOutcome,
    PollAnswer,
    RunReport,
)
from hornbeamstair_upstreams.work.proofs import EndProof
from hornbeamstair_upstreams.work.runs import (
    EndedRun,
    OrphanedRun,
    Run,
    RunState,
)
from hornbeamstair_upstreams.work.session import WorkerSession
from hornbeamstair_upstreams.work.start_orders import note_listed

__all__ = ('handle_poll_answer',)

# A worker that goes on for this time has most likely survived the start.
_PROVING_SECONDS: Final = 0.5
# Longest time for which senders wait for an answer beyond that of the poll.
_TRANSIT_SECONDS: Final = 0.8
# A worker lists at most so many ends in one answer.
_MAX_ENDS_PER_POLL: Final = 500


def handle_poll_answer(
    session: WorkerSession,
    answer: PollAnswer,
    sent_at: float,
    now: float,
) -> list[EndedRun]:
    """Apply the answer to a poll; return the ends to record."""
    if session.is_older_incarnation(answer.incarnation):
        # A delayed answer: its clock and its runs no longer apply.
        return []
    session.acknowledgements.handle_outcome(answer.outcome)
    if answer.outcome == OrderOutcome.other_life:
        return session.handle_other_life(sent_at, now)
    if answer.outcome == OrderOutcome.unsent:
        # The worker was not asked.
        return []
    if session.is_newer_incarnation(answer.incarnation):
        return session.end_incarnation(answer.incarnation, now)
    poll = session.last_poll
    if poll is None or not session.is_present(poll.fencing_token):
        # Orders of before may be executed after this poll.
        return []
    if answer.outcome == OrderOutcome.fenced:
        session.handle_fenced(poll.fencing_token)
    if answer.outcome != OrderOutcome.done:
        session.is_unresponsive = answer.outcome in UNANSWERED_OUTCOMES
        session.has_missed_poll = session.is_unresponsive
        return []
    session.has_missed_poll = False
    session.end_cursor.handle_acknowledged(poll.cursor)
    ended: list[EndedRun] = []
    if session.is_unresponsive or not session.is_synced:
        session.handle_regained()
    answered_at = _get_answer_time(session, answer, sent_at, now)
    session.answered_at = answered_at
    session.polled_at = sent_at
    session.handle_sign_of_life(sent_at)
    if not session.is_synced:
        session.synchronize(sent_at, now)
    session.update_clock(answer.clock, now)
    ended.extend(_apply_ends(session, answer.ended))
    listed = {report.task: report for report in answer.running}
    _apply_running(session, listed, answered_at)
    if len(answer.ended) < _MAX_ENDS_PER_POLL:
        missing = _find_missing(session, listed, sent_at)
        ended.extend(session.remove_lost(missing, EndProof.unlisted))
    _stop_orphans(session, answer.running, now)
    return ended


def _get_answer_time(
    session: WorkerSession,
    answer: PollAnswer,
    sent_at: float,
    now: float,
) -> float:
    """Get the latest time at which the worker can have answered.

    An answer may have waited for this process while that was paused.
    """
    latest = sent_at + session.terms.wait + _TRANSIT_SECONDS
    clock = session.lease.clock
    if clock is not None and answer.clock is not None:
        latest = min(latest, clock.get_latest_local_time(answer.clock))
    return now if now - latest <= _TRANSIT_SECONDS else latest


def _apply_ends(
    session: WorkerSession,
    reports: Iterable[EndReport],
) -> Iterator[EndedRun]:
    for report in reports:
        if report.number <= session.end_cursor.listed:
            continue
        session.end_cursor.listed = report.number
        session.stops.pop((report.task, report.run), None)
        run = session.runs.get(report.task)
        if run is None or run.run != report.run:
            session.orphaned_runs.append(
                OrphanedRun(report.task, report.run, report.end.value),
            )
            continue
        note_listed(run)
        session.remove_run(report.task)
        session.health.handle_end(report.end, run.phase_id)
        checkpoint = report.checkpoint or run.checkpoint
        yield EndedRun(run, report.end, checkpoint, EndProof.listed)


def _apply_running(
    session: WorkerSession,
    listed: dict[TaskId, RunReport],
    now: float,
) -> None:
    for task, report in listed.items():
        run = session.runs.get(task)
        if run is None or run.run != report.run:
            continue
        run.unlisted_at = None
        note_listed(run)
        run.checkpoint = report.checkpoint or run.checkpoint
        run.percent = report.percent
        session.confirm(run, RunState.running, now)
        if not run.is_proven and _has_outlived_start(run, now):
            session.prove_run(run)


def _has_outlived_start(run: Run, now: float) -> bool:
    confirmed_at = now if run.confirmed_at is None else run.confirmed_at
    return now - confirmed_at >= _PROVING_SECONDS


def _find_missing(
    session: WorkerSession,
    listed: dict[TaskId, RunReport],
    sent_at: float,
) -> list[TaskId]:
    return [
        task
        for task, run in session.runs.items()
        if task not in listed and _has_ended(session, run, sent_at)
    ]


def _stop_orphans(
    session: WorkerSession,
    running: Iterable[RunReport],
    now: float,
) -> None:
    """Request stops of orphaned runs, which the session does not track."""
    for report in running:
        run = session.runs.get(report.task)
        if run is not None and run.run == report.run:
            continue
        if (report.task, report.run) not in session.stops:
            session.orphaned_runs.append(
                OrphanedRun(report.task, report.run, RunState.running.value),
            )
        session.queue_stop(report.task, report.run)
        session.occupied_at = now


def _has_ended(session: WorkerSession, run: Run, sent_at: float) -> bool:
    """Return whether a run that a poll does not list has ended.

    A run that is being stopped still uses resources, although no poll lists
    it. The stop may come from a previous leader, or may be unanswered.
    """
    is_inherited = run.state == RunState.inherited
    confirmed_at = session.synced_at if is_inherited else run.confirmed_at
    if confirmed_at is None or confirmed_at >= sent_at:
        return False
    if run.unlisted_at is None:
        run.unlisted_at = sent_at
    return run.unlisted_at + session.terms.stopping < sent_at
