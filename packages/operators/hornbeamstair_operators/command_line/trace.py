"""Command that tells the story of a job from the logs."""

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
_PROGRESS_LINES: Final = 1_000_000
# Fields that every line has; the others tell what was decided and why.
_COMMON: Final = frozenset(('process', 'time', 'level', 'number', 'event'))


@define
class LineCounts:
    """Lines that were read, and those that no event could be read from."""

    read: int = 0
    bad: int = 0


def trace(
    context: Context,
    identifier: Annotated[str, Argument(help='Identifier of a job.')],
    logs: Annotated[
        list[str],
        Argument(help='Log files of any processes; - for standard input.'),
    ],
) -> None:
    """Tell the story of a job from the logs of all processes."""
    session: Session = context.obj
    counts = LineCounts()
    found = Trace(identifier)
    for name in logs:
        for line in _read_lines(name, counts):
            found.note(line)
    story = found.get_story()
    if not story:
        echo(f'no line of {counts.read} names {identifier}', err=True)
        raise Exit(EXIT_REFUSED)
    began = found.own[0].at
    session.output.print_table(
        [_get_row(line, began) for line in story],
        ('seconds', 'process', 'event', 'details'),
    )
    echo(
        f'{counts.read} lines read, {counts.bad} without an event, '
        f'{found.left_out} left out',
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
        if counts.read % _PROGRESS_LINES == 0:
            echo(f'{counts.read} lines read', err=True)
        line = _parse_line(text)
        if line is None:
            counts.bad += 1
        else:
            yield line


def _parse_line(text: str) -> LogLine | None:
    # A collector of logs may put words of its own before the object.
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


def _get_row(line: LogLine, began: float) -> dict[str, Any]:
    details = [
        f'{name}={_describe(found)}'
        for name, found in line.fields.items()
        if name not in _COMMON
    ]
    return {
        'seconds': f'{line.at - began:.3f}',
        'process': line.process,
        'event': line.event,
        'details': ' '.join(details),
    }


def _describe(found: Any) -> str:
    match found:
        case list():
            return f'[{"; ".join(_describe(part) for part in found)}]'
        case dict():
            return ' '.join(
                f'{name}={part}'
                for name, part in found.items()
                # The time of the row.
                if name != 'at'
            )
    return str(found)
