"""Steps with the command that traces a job."""

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
from tests.support.logs import keep_log, read_log, start_log
from tests.support.work_model import WorkModel, make_phase

JOB = '00000000000000aa'
OTHER = '00000000000000bb'
ENTRY_LINES = (
    (1.0, 'request_refused', {'path': f'/stops/{JOB}', 'code': 5003}),
    (1.5, 'request_refused', {'path': f'/stops/{OTHER}', 'code': 5003}),
)
CONTROL_LINES = (
    # Too long before the job.
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
                {'task': f'{OTHER}.0.0.0', 'worker': 'w2', 'at': 3.1},
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
                {'task': f'{OTHER}.0.0.0', 'worker': 'w2', 'at': 3.9},
                {'task': f'{JOB}.0.0.1', 'worker': 'w3', 'at': 3.9},
            ],
        },
    ),
    (4.1, 'job_ended', {'job': JOB}),
)


@given('the log of an entry process that refused a job once')
def write_entry_log(context: Any) -> None:
    """Write a log, one line of which is cut short."""
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    cut = '{"process": "ent'
    context.logs = [_write_log(context, 'entry-1', ENTRY_LINES, cut)]


@given('the log of a control process that ran it beside others')
def write_control_log(context: Any) -> None:
    """Write a log."""
    context.logs.append(_write_log(context, 'control-1', CONTROL_LINES, ''))


@given('the log of a control process that lists several runs a line')
def write_listing_log(context: Any) -> None:
    """Write a log."""
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.logs = [_write_log(context, 'control-1', LISTING_LINES, '')]


@given('the log of a modelled holder of {workers:d} workers')
def start_holder(context: Any, workers: int) -> None:
    """Start a model whose clock is that of its log."""
    context.work = WorkModel(
        Random(1),
        worker_count=workers,
        lost_share=0,
        late_share=0,
        fail_share=0,
        refuse_share=0,
    )
    keep_log(context).addFilter(lambda record: _stamp(record, context.work.now))


@given('a log with a budget whose reader takes nothing')
def start_stalled(context: Any) -> None:
    """Start a log that keeps a few lines."""
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
    """Accept jobs and run them until their end."""
    work = context.work
    context.jobs = [JobId(f'{number:016x}') for number in range(1, count + 1)]
    context.tasks = phases * tasks
    for job in context.jobs:
        made = [make_phase(tasks, 1000)]
        made.extend(
            make_phase(tasks, 1000, (before,)) for before in range(phases - 1)
        )
        work.accept(job, tuple(made))
    for _ in range(1000):
        if not any(work.tables.jobs.get_open()):
            break
        work.step()
    work.run(1)


@when('{count:d} jobs are accepted at once')
def log_accepted(context: Any, count: int) -> None:
    """Write lines faster than the log takes them."""
    context.count = count
    for number in range(count):
        log_event(JobAcceptedEvent(f'{number:016x}', 'q', 's', 1, 1, 1))


@when('a job of {tasks:d} tasks has waited there for {seconds:d} seconds')
def have_wait(context: Any, tasks: int, seconds: int) -> None:
    """Accept a job that needs more room than there is."""
    context.work.run(1)
    phase = make_phase(tasks, 1000, lasts=True)
    context.work.accept(JobId(JOB), (phase,))
    context.work.run(seconds)


@then('its log tells {count:d} times of {tasks:d} tasks and of 1 worker')
def check_waiting(context: Any, count: int, tasks: int) -> None:
    """Check what the lines tell of the service."""
    told = [
        service
        for line in read_log(context)
        if line['event'] == 'work_waiting'
        for service in line['services']
    ]
    assert len(told) == count, told
    for found in told:
        assert found['tasks'] == tasks, found
        assert found['workers'] == found['usable'] == 1, found
    assert told[-1]['oldest_ms'] >= (count - 1) * 1000, told


@then('its log does not tell of waiting tasks')
def check_no_waiting(context: Any) -> None:
    """Check that only what waits is told."""
    events = {line['event'] for line in read_log(context)}
    assert 'runs_placed' in events, events
    assert 'work_waiting' not in events, events


@then('no line of its log is left out')
def check_left_out(context: Any) -> None:
    """Check the metric and the lines."""
    counted = context.metrics.get_exposition().decode()
    assert 'hornbeamstair_log_lines_left_out_total{' not in counted, counted
    assert b'left_out' not in b''.join(context.written)


@then('the traces of these jobs tell each start and each end')
def check_whole(context: Any) -> None:
    """Check the number of runs in the story of each job."""
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / 'holder.log'
    path.write_bytes(b''.join(context.written))
    context.logs = [str(path)]
    for job in context.jobs:
        _trace(context, job)
        told: Counter[str] = Counter()
        for row in json.loads(context.result.stdout):
            tasks = re.findall(r'task=([0-9a-f]+)\.', row['details'])
            assert set(tasks) <= {job}, row
            told[row['event']] += len(tasks)
        assert told['runs_placed'] == context.tasks, told
        assert told['runs_ended'] == context.tasks, told


@then('the metrics count each line that was not kept')
def check_metric(context: Any) -> None:
    """Compare the metric with the lines that are held."""
    wanted = context.count - len(context.handler.stream.lines)
    counted = context.metrics.registry.get_sample_value(
        'hornbeamstair_log_lines_left_out_total',
        {'event': 'job_accepted'},
    )
    assert counted == wanted, (counted, wanted)


@when('the job is traced')
def trace_job(context: Any) -> None:
    """Run the command on all logs."""
    _trace(context, JOB)


@when('another job is traced')
def trace_other(context: Any) -> None:
    """Run the command with an identifier that no log names."""
    _trace(context, 'f' * 16)


@then('the story has these events in order')
def check_events(context: Any) -> None:
    """Check the events and their order."""
    assert context.result.exit_code == 0, context.result.output
    rows = json.loads(context.result.stdout)
    told = [row['event'] for row in rows]
    assert told == [row['event'] for row in context.table], told


@then('it says that {bad:d} of {count:d} lines had no event')
def check_counts(context: Any, bad: int, count: int) -> None:
    """Check what the command says of the lines."""
    wanted = f'{count} lines read, {bad} without an event'
    assert wanted in context.result.stderr, context.result.stderr


@then('it tells nothing of another job')
def check_others(context: Any) -> None:
    """Check that the runs of other jobs are not shown."""
    assert OTHER not in context.result.stdout, context.result.stdout


@then('the command fails and says so')
def check_unknown(context: Any) -> None:
    """Check the exit code and the message."""
    assert context.result.exit_code != 0
    assert 'no line' in context.result.stderr, context.result.stderr


def _trace(context: Any, job: str) -> None:
    context.result = CliRunner().invoke(
        app,
        ['--output', 'json', 'trace', job, *context.logs],
    )


def _write_log(context: Any, process: str, lines: Any, end: str) -> str:
    path = context.folder / f'{process}.log'
    written = [
        json.dumps({'process': process, 'time': at, 'event': event, **fields})
        for at, event, fields in lines
    ]
    path.write_text('\n'.join([*written, end]).strip())
    return str(path)


def _stamp(record: std_logging.LogRecord, now: float) -> bool:
    record.created = now
    return True


def _refuse_write(descriptor: int, line: bytes) -> int:
    raise BlockingIOError
