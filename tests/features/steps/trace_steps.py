"""Steps for the command that traces a job."""

import json
import logging as std_logging
import re
from collections import Counter
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

from behave import given, then, when
from typer.testing import CliRunner

from hornbeamstair_callers.jobs.events import JobAcceptedEvent
from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import JobId
from hornbeamstair_core.log_stream import NonBlockingStream
from hornbeamstair_operators.command_line.main import app
from tests.support.logs import capture_log, read_log, start_log
from tests.support.work_model import WorkModel, make_phase

JOB = '00000000000000aa'
OTHER_JOB = '00000000000000bb'
ENTRY_LINES = (
    (1.0, 'request_refused', {'path': f'/stops/{JOB}', 'code': 5003}),
    (1.5, 'request_refused', {'path': f'/stops/{OTHER_JOB}', 'code': 5003}),
)
CONTROL_LINES = (
    # Too long before the job to be part of its context.
    (-60.0, 'holder_changed', {'holds': True, 'fencing_token': 1}),
    (2.0, 'holder_changed', {'holds': True, 'fencing_token': 2}),
    (3.0, 'job_accepted', {'job': JOB}),
    (3.1, 'run_placed', {'task': f'{JOB}.0.0.0', 'worker': 'w1'}),
    (3.2, 'worker_believed', {'worker': 'w1', 'belief': 'leaving'}),
    # A worker that runs nothing of the job.
    (3.3, 'worker_believed', {'worker': 'w2', 'belief': 'leaving'}),
    (4.0, 'run_ended', {'task': f'{JOB}.0.0.0', 'worker': 'w1'}),
    (4.1, 'job_ended', {'job': JOB}),
)
LISTING_LINES = (
    (3.0, 'job_accepted', {'job': JOB, 'service': 's1'}),
    (3.05, 'work_waiting', {'services': [{'service': 's1'}]}),
    # A service that runs nothing of the job.
    (3.06, 'work_waiting', {'services': [{'service': 's2'}]}),
    (
        3.3,
        'runs_placed',
        {
            'fencing_token': 2,
            'runs': [
                {'task': f'{JOB}.0.0.0', 'worker': 'w1', 'at': 3.1},
                {'task': f'{OTHER_JOB}.0.0.0', 'worker': 'w2', 'at': 3.1},
                {'task': f'{JOB}.0.0.1', 'worker': 'w3', 'at': 3.2},
            ],
        },
    ),
    (3.25, 'worker_believed', {'worker': 'w3', 'belief': 'leaving'}),
    # A worker that runs nothing of the job.
    (3.26, 'worker_believed', {'worker': 'w2', 'belief': 'leaving'}),
    (
        4.0,
        'runs_ended',
        {
            'fencing_token': 2,
            'runs': [
                {'task': f'{JOB}.0.0.0', 'worker': 'w1', 'at': 3.9},
                {'task': f'{OTHER_JOB}.0.0.0', 'worker': 'w2', 'at': 3.9},
                {'task': f'{JOB}.0.0.1', 'worker': 'w3', 'at': 3.9},
            ],
        },
    ),
    (4.1, 'job_ended', {'job': JOB}),
)


@given('the log of an entry process that refused a job once')
def write_entry_log(context: Any) -> None:
    """Write a log whose last line is truncated."""
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    truncated = '{"process": "ent'
    context.logs = [_write_log(context, 'entry-1', ENTRY_LINES, truncated)]


@given('the log of a control process that ran the job and others')
def write_control_log(context: Any) -> None:
    """Write a log with one line per decision."""
    context.logs.append(_write_log(context, 'control-1', CONTROL_LINES, ''))


@given('the log of a control process that lists several runs per line')
def write_listing_log(context: Any) -> None:
    """Write a log with several decisions per line."""
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.logs = [_write_log(context, 'control-1', LISTING_LINES, '')]


@given('the log of a modelled leader with {workers:d} workers')
def start_leader(context: Any, workers: int) -> None:
    """Start a model whose log has the times of its simulated clock."""
    context.work = WorkModel(
        Random(1),
        worker_count=workers,
        lost_share=0,
        delayed_share=0,
        fail_share=0,
        refuse_share=0,
    )
    capture_log(context).addFilter(
        lambda record: _set_record_time(record, context.work.now)
    )


@given('a log with a limited buffer whose reader accepts nothing')
def start_stalled_log(context: Any) -> None:
    """Start a log that buffers at most 1024 bytes."""
    start_log(context, NonBlockingStream(1, _refuse_write, 1024))


@when(
    '{count:d} jobs of {phases:d} phases with {tasks:d} tasks each '
    'have been completed there'
)
def complete_jobs(
    context: Any,
    count: int,
    phases: int,
    tasks: int,
) -> None:
    """Accept jobs and run the model until they end."""
    work = context.work
    context.jobs = [JobId(f'{number:016x}') for number in range(1, count + 1)]
    context.tasks = phases * tasks
    for job in context.jobs:
        job_phases = [make_phase(tasks, 1000)]
        job_phases.extend(
            make_phase(tasks, 1000, (before,)) for before in range(phases - 1)
        )
        work.accept(job, tuple(job_phases))
    for _ in range(1000):
        if not any(work.tables.jobs.get_open()):
            break
        work.step()
    work.run(1)


@when('{count:d} jobs are accepted at once')
def log_accepted(context: Any, count: int) -> None:
    """Log lines that the stalled reader does not accept."""
    context.count = count
    for number in range(count):
        log_event(JobAcceptedEvent(f'{number:016x}', 'q', 's', 1, 1, 1))


@when('a job of {tasks:d} tasks has been waiting there for {seconds:d} seconds')
def run_with_job(context: Any, tasks: int, seconds: int) -> None:
    """Accept a job of long-running tasks and run the model."""
    context.work.run(1)
    phase = make_phase(tasks, 1000, lasts=True)
    context.work.accept(JobId(JOB), (phase,))
    context.work.run(seconds)


@then('its log reports {count:d} times {tasks:d} waiting tasks and 1 worker')
def check_waiting(context: Any, count: int, tasks: int) -> None:
    """Check the waiting tasks, workers and waiting time in the lines."""
    reported = [
        service
        for line in read_log(context)
        if line['event'] == 'work_waiting'
        for service in line['services']
    ]
    assert len(reported) == count, reported
    for found in reported:
        assert found['tasks'] == tasks, found
        assert found['workers'] == found['usable'] == 1, found
    assert reported[-1]['oldest_ms'] >= (count - 1) * 1000, reported


@then('its log reports no waiting tasks')
def check_no_waiting(context: Any) -> None:
    """Check that runs were placed and no waiting was logged."""
    events = {line['event'] for line in read_log(context)}
    assert 'runs_placed' in events, events
    assert 'work_waiting' not in events, events


@then('no line of its log is dropped')
def check_no_dropped(context: Any) -> None:
    """Check that neither the metric nor the log reports dropped lines."""
    counted = context.metrics.get_exposition().decode()
    assert 'hornbeamstair_log_lines_left_out_total{' not in counted, counted
    assert b'left_out' not in b''.join(context.written)


@then('the traces of these jobs show each start and each end')
def check_complete(context: Any) -> None:
    """Check the number of runs in the timeline of each job."""
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / 'leader.log'
    path.write_bytes(b''.join(context.written))
    context.logs = [str(path)]
    for job in context.jobs:
        _trace(context, job)
        run_counts: Counter[str] = Counter()
        for row in json.loads(context.result.stdout):
            job_ids = re.findall(r'task=([0-9a-f]+)\.', row['details'])
            assert set(job_ids) <= {job}, row
            run_counts[row['event']] += len(job_ids)
        assert run_counts['runs_placed'] == context.tasks, run_counts
        assert run_counts['runs_ended'] == context.tasks, run_counts


@then('the metrics count each dropped line')
def check_metric(context: Any) -> None:
    """Compare the metric with the number of buffered lines."""
    expected = context.count - len(context.handler.stream.lines)
    counted = context.metrics.registry.get_sample_value(
        'hornbeamstair_log_lines_left_out_total',
        {'event': 'job_accepted'},
    )
    assert counted == expected, (counted, expected)


@when('the job is traced')
def trace_job(context: Any) -> None:
    """Run the command on all logs."""
    _trace(context, JOB)


@when('another job is traced')
def trace_other(context: Any) -> None:
    """Run the command with an identifier that occurs in no log."""
    _trace(context, 'f' * 16)


@then('the timeline has these events in order')
def check_events(context: Any) -> None:
    """Check the events and their order."""
    assert context.result.exit_code == 0, context.result.output
    rows = json.loads(context.result.stdout)
    events = [row['event'] for row in rows]
    assert events == [row['event'] for row in context.table], events


@then('the command reports that {invalid:d} of {count:d} lines had no event')
def check_counts(context: Any, invalid: int, count: int) -> None:
    """Check the line counts in the error output."""
    expected = f'{count} lines read, {invalid} without an event'
    assert expected in context.result.stderr, context.result.stderr


@then('the timeline does not contain the other job')
def check_others(context: Any) -> None:
    """Check that the runs of the other job are not shown."""
    assert OTHER_JOB not in context.result.stdout, context.result.stdout


@then('the command fails and reports that no line was found')
def check_unknown(context: Any) -> None:
    """Check the exit code and the message."""
    assert context.result.exit_code != 0
    assert 'no line' in context.result.stderr, context.result.stderr


def _trace(context: Any, job: str) -> None:
    context.result = CliRunner().invoke(
        app,
        ['--output', 'json', 'trace', job, *context.logs],
    )


def _write_log(context: Any, process: str, lines: Any, last_line: str) -> str:
    path = context.folder / f'{process}.log'
    encoded = [
        json.dumps({'process': process, 'time': at, 'event': event, **fields})
        for at, event, fields in lines
    ]
    path.write_text('\n'.join([*encoded, last_line]).strip())
    return str(path)


def _set_record_time(record: std_logging.LogRecord, now: float) -> bool:
    record.created = now
    return True


def _refuse_write(descriptor: int, line: bytes) -> int:
    raise BlockingIOError
