"""Timeline of one job or request from the event logs of all processes."""

from collections import deque
from collections.abc import Iterator, Mapping
from typing import Any, Final

from attrs import define, evolve, field, frozen

__all__ = ('LogLine', 'Trace')

# Events of the whole system that may explain what happened to a job; shown in
# every timeline that covers their time.
_SYSTEM_EVENTS: Final = frozenset(
    (
        'holder_changed',
        'leader_changed',
        'manifest_put',
        'wave_declared',
    )
)
# Events of a worker or its host that may explain what happened to its runs;
# shown if a line of the job names the worker.
_WORKER_EVENTS: Final = frozenset(
    (
        'host_ordered',
        'silence_explained',
        'worker_believed',
        'worker_quarantined',
    )
)
# Events that explain why jobs of a service waited; shown if a line of the job
# names the service.
_SERVICE_EVENTS: Final = frozenset(('work_waiting',))
_CONTEXT_EVENTS: Final = _SYSTEM_EVENTS | _WORKER_EVENTS | _SERVICE_EVENTS
# About 100 MB; processes log a few such lines a second.
_MAX_CONTEXT_LINES: Final = 200_000
# A job has a few lines for each run of each task.
_MAX_MATCHING_LINES: Final = 100_000
# Events shortly before the first and after the last line of a job may explain
# it as well.
_CONTEXT_MARGIN_SECONDS: Final = 2.0


@frozen
class LogLine:
    """Line of the event log of a process."""

    # Wall-clock time of the process that wrote the line, in seconds.
    at: float
    process: str
    event: str
    fields: Mapping[str, Any]

    def get_matching_parts(self, identifier: str) -> 'list[LogLine]':
        """Get the parts of the line that refer to a job, its tasks or path.

        Of a line that lists several entries, the matching entries are kept
        and split by their times.
        """
        lists_by_time: dict[float, dict[str, list[Any]]] = {}
        for name, entry in _get_list_entries(self.fields):
            if _refers_to(entry, identifier):
                part = lists_by_time.setdefault(
                    _get_entry_time(entry, self.at),
                    {},
                )
                part.setdefault(name, []).append(entry)
        common = {
            name: content
            for name, content in self.fields.items()
            if not isinstance(content, list)
        }
        if lists_by_time:
            return [
                evolve(self, at=at, fields={**common, **part})
                for at, part in lists_by_time.items()
            ]
        return [self] if _refers_to(common, identifier) else []

    def get_workers(self) -> Iterator[str]:
        """Get the workers that the line or one of its entries names."""
        entries = [entry for _, entry in _get_list_entries(self.fields)]
        for entry in (self.fields, *entries):
            worker = entry.get('worker') if isinstance(entry, Mapping) else ''
            if isinstance(worker, str) and worker:
                yield worker


@define(eq=False)
class Trace:
    """Log lines about one identifier and their context."""

    identifier: str
    matching_lines: list[LogLine] = field(factory=list)
    # Newest events of the system, its workers and services.
    context_lines: 'deque[LogLine]' = field(
        factory=lambda: deque(maxlen=_MAX_CONTEXT_LINES),
    )
    dropped_count: int = 0

    def add_line(self, line: LogLine) -> None:
        """Keep a line if it may belong to the timeline."""
        parts = line.get_matching_parts(self.identifier)
        if parts:
            free_count = _MAX_MATCHING_LINES - len(self.matching_lines)
            self.matching_lines.extend(parts[:free_count])
            self.dropped_count += len(parts[free_count:])
        elif line.event in _CONTEXT_EVENTS:
            self.context_lines.append(line)

    def get_timeline(self) -> list[LogLine]:
        """Get the matching lines and their context, sorted by time."""
        if not self.matching_lines:
            return []
        begin = (
            min(line.at for line in self.matching_lines)
            - _CONTEXT_MARGIN_SECONDS
        )
        end = (
            max(line.at for line in self.matching_lines)
            + _CONTEXT_MARGIN_SECONDS
        )
        concurrent = [
            line for line in self.context_lines if begin <= line.at <= end
        ]
        workers = {
            worker
            for line in self.matching_lines
            for worker in line.get_workers()
        }
        related = [
            line
            for line in concurrent
            if line.event in _SYSTEM_EVENTS
            or not workers.isdisjoint(line.get_workers())
        ]
        services = {line.fields.get('service') for line in self.matching_lines}
        for service in services:
            related.extend(_get_service_parts(concurrent, service))
        return sorted([*self.matching_lines, *related], key=_get_time)


def _get_service_parts(
    lines: list[LogLine],
    service: Any,
) -> Iterator[LogLine]:
    for line in lines:
        if isinstance(service, str) and line.event in _SERVICE_EVENTS:
            yield from line.get_matching_parts(service)


def _get_time(line: LogLine) -> float:
    return line.at


def _refers_to(content: Any, identifier: str) -> bool:
    match content:
        case str():
            return (
                content == identifier
                or content.startswith(f'{identifier}.')
                or content.endswith(f'/{identifier}')
            )
        case Mapping():
            return any(
                _refers_to(part, identifier) for part in content.values()
            )
        case list():
            return any(_refers_to(part, identifier) for part in content)
    return False


def _get_entry_time(entry: Any, default: float) -> float:
    at = entry.get('at') if isinstance(entry, Mapping) else None
    return at if isinstance(at, float) else default


def _get_list_entries(fields: Mapping[str, Any]) -> Iterator[tuple[str, Any]]:
    for name, content in fields.items():
        if isinstance(content, list):
            yield from ((name, entry) for entry in content)
