"""Numbered events of the event log: base class, registry and handlers."""

import json
import logging as std_logging
import os
import sys
from abc import ABC
from enum import Enum
from typing import ClassVar, Final, TypeVar

from absl import flags, logging
from attrs import asdict, frozen

from hornbeamstair_core.log_stream import EventRateLimiter, NonBlockingStream
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.registry import NumberedRegistry

__all__ = (
    'Event',
    'EventLevel',
    'StreamHandler',
    'get_events',
    'log_event',
    'register_event',
    'set_up_logging',
    'set_up_stream_logging',
)


class EventLevel(Enum):
    """Severity of an event."""

    info = logging.INFO
    warning = logging.WARNING
    error = logging.ERROR


@frozen
class Event(ABC):
    """Event of the event log, documented under its number."""

    number: ClassVar[int]
    name: ClassVar[str]
    summary: ClassVar[str]
    level: ClassVar[EventLevel] = EventLevel.info


EventClass = TypeVar('EventClass', bound=type[Event])
# Metric label for log lines of libraries, which have no event.
_NO_EVENT_LABEL: Final = 'none'
_VERBOSE_LOGGERS: Final = ('uvicorn', 'transitions')
_registry: Final = NumberedRegistry[Event](family='event')


def register_event(event_class: EventClass) -> EventClass:
    """Add an event class to the registry."""
    _registry.register(event_class)
    return event_class


def get_events() -> list[type[Event]]:
    """Get the event classes ordered by number."""
    return _registry.get_all()


class _EventFormatter(std_logging.Formatter):
    """Format log records as human-readable text."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Format a record as one line of text."""
        event = getattr(record, 'event', None)
        prefix = f'{self.formatTime(record)} {record.levelname}'
        if event is None:
            return f'{prefix} {record.getMessage()}'
        named_fields = asdict(event, recurse=False).items()
        details = ' '.join(f'{name}={text!r}' for name, text in named_fields)
        return f'{prefix} E{event.number} {event.name} {details}'.rstrip()


class _JsonEventFormatter(std_logging.Formatter):
    """Format log records as JSON lines."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Format a record as one JSON object."""
        event = getattr(record, 'event', None)
        fields: dict[str, object] = {
            'time': record.created,
            'level': record.levelname,
        }
        if event is None:
            fields['message'] = record.getMessage()
        else:
            fields.update(number=event.number, event=event.name)
            fields.update(asdict(event, recurse=False))
        if record.exc_info:
            fields['traceback'] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str)


def set_up_logging(*, as_json: bool) -> None:
    """Write log records to standard error as text or JSON lines."""
    # absl warns about logging before its flags are parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    formatter = _JsonEventFormatter() if as_json else _EventFormatter()
    logging.get_absl_handler().setFormatter(formatter)
    logging.set_verbosity(logging.INFO)
    for name in _VERBOSE_LOGGERS:
        std_logging.getLogger(name).setLevel(std_logging.ERROR)


class StreamHandler(std_logging.Handler):
    """Write log records as JSON lines, rate-limited for each event."""

    def __init__(
        self,
        process: str,
        stream: NonBlockingStream,
        metrics: Metrics,
    ) -> None:
        """Create a handler for a stream that never blocks."""
        super().__init__()
        self.setFormatter(_JsonEventFormatter())
        self.rate_limiter = EventRateLimiter()
        self.process = process
        self.stream = stream
        self.metrics = metrics

    def emit(self, record: std_logging.LogRecord) -> None:
        """Write a record unless its event exceeds its rate limit."""
        event = getattr(record, 'event', None)
        number = 0 if event is None else event.number
        is_written = self.rate_limiter.take(number, record.created)
        if is_written:
            dropped_count = self.rate_limiter.pop_dropped(number)
            is_written = self._write(record, dropped_count)
            if not is_written:
                self.rate_limiter.add_dropped(number, dropped_count + 1)
        if not is_written:
            name = _NO_EVENT_LABEL if event is None else event.name
            self.metrics.dropped_log_lines.labels(name).inc()

    def _write(self, record: std_logging.LogRecord, dropped_count: int) -> bool:
        line = self.format(record)
        extra = f', "left_out": {dropped_count}' if dropped_count else ''
        text = f'{{"process": "{self.process}"{extra}, {line[1:]}\n'
        return self.stream.write(text.encode())


def set_up_stream_logging(process: str, metrics: Metrics) -> None:
    """Write log records to standard output as rate-limited JSON lines."""
    set_up_logging(as_json=True)
    logger = logging.get_absl_logger()
    for handler in list(logger.handlers):
        logger.removeHandler(handler)
    root = std_logging.getLogger()
    for root_handler in list(root.handlers):
        root.removeHandler(root_handler)
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    stream = NonBlockingStream(descriptor)
    root.addHandler(StreamHandler(process, stream, metrics))


def log_event(event: Event) -> None:
    """Write an event to the event log."""
    logging.log(event.level.value, '%s', event.name, extra={'event': event})
