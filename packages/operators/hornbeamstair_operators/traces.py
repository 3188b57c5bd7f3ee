"""Story of one job or request, from the logs of all processes."""

from collections import deque
from collections.abc import Iterator, Mapping
from typing import Any, Final

from attrs import define, evolve, field, frozen

__all__ = ('LogLine', 'Trace')

# Events of the system that explain what became of a job.
_SYSTEM_EVENTS: Final = frozenset(
    (
        'holder_changed',
        'leader_changed',
        'manifest_put',
        'wave_declared',
    )
)
# Events of a worker or its host that explain what became of its runs.
_WORKER_EVENTS: Final = frozenset(
    (
        'host_ordered',
        'worker_believed',
        'worker_quarantined',
    )
)
# Events of a service that explain why its jobs waited.
_SERVICE_EVENTS: Final = frozenset(('work_waiting',))
_CONTEXT_EVENTS: Final = _SYSTEM_EVENTS | _WORKER_EVENTS | _SERVICE_EVENTS
# About 100 MB; logs have some such lines a second.
_MAX_CONTEXT: Final = 200_000
# A job has some lines for each run of each task.
_MAX_LINES: Final = 100_000
# What happened shortly before and after explains as well.
_MARGIN_SECONDS: Final = 2.0


@frozen
class LogLine:
    """Line of the log of a process."""

    # Wall-clock seconds of the process that wrote it.
    at: float
    process: str
    event: str
    fields: Mapping[str, Any]

    def get_parts(self, identifier: str) -> 'list[LogLine]':
        """Get what the line tells of a job, one of its tasks or its path.

        A line that lists several decisions is parted by their times.
        """
        lists: dict[float, dict[str, list[Any]]] = {}
        for name, entry in _get_entries(self.fields):
            if _names(entry, identifier):
                part = lists.setdefault(_get_time_of(entry, self.at), {})
                part.setdefault(name, []).append(entry)
        common = {
            name: found
            for name, found in self.fields.items()
            if not isinstance(found, list)
        }
        if lists:
            return [
                evolve(self, at=at, fields={**common, **part})
                for at, part in lists.items()
            ]
        return [self] if _names(common, identifier) else []

    def get_workers(self) -> Iterator[str]:
        """Get the workers that the line names."""
        entries = [entry for _, entry in _get_entries(self.fields)]
        for found in (self.fields, *entries):
            worker = found.get('worker') if isinstance(found, Mapping) else ''
            if isinstance(worker, str) and worker:
                yield worker


@define(eq=False)
class Trace:
    """Lines that tell the story of one identifier."""

    identifier: str
    own: list[LogLine] = field(factory=list)
    # What happened to the system and its workers, the newest.
    context: 'deque[LogLine]' = field(
        factory=lambda: deque(maxlen=_MAX_CONTEXT),
    )
    left_out: int = 0

    def note(self, line: LogLine) -> None:
        """Keep a line if it may belong to the story."""
        parts = line.get_parts(self.identifier)
        if parts:
            room = _MAX_LINES - len(self.own)
            self.own.extend(parts[:room])
            self.left_out += len(parts[room:])
        elif line.event in _CONTEXT_EVENTS:
            self.context.append(line)

    def get_story(self) -> list[LogLine]:
        """Get the lines of the story in the order of their time."""
        if not self.own:
            return []
        begin = min(line.at for line in self.own) - _MARGIN_SECONDS
        end = max(line.at for line in self.own) + _MARGIN_SECONDS
        meanwhile = [line for line in self.context if begin <= line.at <= end]
        workers = {worker for line in self.own for worker in line.get_workers()}
        related = [
            line
            for line in meanwhile
            if line.event in _SYSTEM_EVENTS
            or not workers.isdisjoint(line.get_workers())
        ]
        services = {line.fields.get('service') for line in self.own}
        for service in services:
            related.extend(_get_parts_of_service(meanwhile, service))
        return sorted([*self.own, *related], key=_get_time)


def _get_parts_of_service(
    lines: list[LogLine],
    service: Any,
) -> Iterator[LogLine]:
    for line in lines:
        if isinstance(service, str) and line.event in _SERVICE_EVENTS:
            yield from line.get_parts(service)


def _get_time(line: LogLine) -> float:
    return line.at


def _names(found: Any, identifier: str) -> bool:
    match found:
        case str():
            return (
                found == identifier
                or found.startswith(f'{identifier}.')
                or found.endswith(f'/{identifier}')
            )
        case Mapping():
            return any(_names(part, identifier) for part in found.values())
        case list():
            return any(_names(part, identifier) for part in found)
    return False


def _get_time_of(entry: Any, default: float) -> float:
    at = entry.get('at') if isinstance(entry, Mapping) else None
    return at if isinstance(at, float) else default


def _get_entries(fields: Mapping[str, Any]) -> Iterator[tuple[str, Any]]:
    for name, found in fields.items():
        if isinstance(found, list):
            yield from ((name, entry) for entry in found)
