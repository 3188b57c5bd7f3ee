"""Command that shows the timeline of a job."""

import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Final

from attrs import define
from typer import Argument, Context, Exit, echo

from hornbeamstair_operators.command_line.session import (
    EXIT_REFUSED,
    Session,
)
from hornbeamstair_operators.traces import LogLine, Trace

__all__ = ('trace',)

_STANDARD_INPUT: Final = '-'
_PROGRESS_INTERVAL_LINES: Final = 1_000_000
# Fields of every line; the other fields are shown as details.
_COMMON_FIELDS: Final = frozenset(
    ('process', 'time', 'level', 'number', 'event')
)


@define
class LineCounts:
    """Numbers of lines that were read and that contain no valid event."""

    read: int = 0
    invalid: int = 0


def trace(
    context: Context,
    identifier: Annotated[str, Argument(help='Id of a job.')],
    logs: Annotated[
        list[str],
        Argument(help='Event logs of the processes; - for standard input.'),
    ],
) -> None:
    """Show the timeline of a job from the event logs of all processes."""
    session: Session = context.obj
    counts = LineCounts()
    job_trace = Trace(identifier)
    for name in logs:
        for line in _read_lines(name, counts):
            job_trace.add_line(line)
    timeline = job_trace.get_timeline()
    if not timeline:
        echo(f'no line of {counts.read} refers to {identifier}', err=True)
        raise Exit(EXIT_REFUSED)
    start_time = job_trace.matching_lines[0].at
    session.output.print_table(
        [_get_row(line, start_time) for line in timeline],
        ('seconds', 'process', 'event', 'details'),
    )
    echo(
        f'{counts.read} lines read, {counts.invalid} without an event, '
        f'{job_trace.dropped_count} dropped',
        err=True,
    )


def _read_lines(name: str, counts: LineCounts) -> Iterator[LogLine]:
    if name == _STANDARD_INPUT:
        yield from _parse_lines(sys.stdin, counts)
    else:
        with Path(name).open(encoding='utf-8', errors='replace') as log:
            yield from _parse_lines(log, counts)


def _parse_lines(log: Any, counts: LineCounts) -> Iterator[LogLine]:
    for text in log:
        counts.read += 1
        if counts.read % _PROGRESS_INTERVAL_LINES == 0:
            echo(f'{counts.read} lines read', err=True)
        line = _parse_line(text)
        if line is None:
            counts.invalid += 1
        else:
            yield line


def _parse_line(text: str) -> LogLine | None:
    # A log collector may put a prefix before the JSON object.
    begin = max(text.find('{'), 0)
    try:
        fields: Any = json.loads(text[begin:])
        return LogLine(
            float(fields['time']),
            str(fields['process']),
            str(fields['event']),
            fields,
        )
    except (KeyError, TypeError, ValueError):
        return None


def _get_row(line: LogLine, start_time: float) -> dict[str, Any]:
    details = [
        f'{name}={_format_field(content)}'
        for name, content in line.fields.items()
        if name not in _COMMON_FIELDS
    ]
    return {
        'seconds': f'{line.at - start_time:.3f}',
        'process': line.process,
        'event': line.event,
        'details': ' '.join(details),
    }


def _format_field(content: Any) -> str:
    match content:
        case list():
            return f'[{"; ".join(_format_field(part) for part in content)}]'
        case dict():
            return ' '.join(
                f'{name}={part}'
                for name, part in content.items()
                # The row already shows this time.
                if name != 'at'
            )
    return str(content)
