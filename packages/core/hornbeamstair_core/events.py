"""Numbered log events: the base class, its registry and the writer."""

import json
import logging as std_logging
import os
import sys
from abc import ABC
from enum import Enum
from typing import ClassVar, Final, TypeVar

from absl import flags, logging
from attrs import asdict, frozen

from hornbeamstair_core.log_stream import EventBudget, NonBlockingStream
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
    """Occurrence that operators can look up by its number."""

    number: ClassVar[int]
    name: ClassVar[str]
    summary: ClassVar[str]
    level: ClassVar[EventLevel] = EventLevel.info


EventClass = TypeVar('EventClass', bound=type[Event])
# Name under which lines of libraries are counted.
_NO_EVENT: Final = 'none'
_CHATTY_LOGGERS: Final = ('uvicorn', 'transitions')
_registry: Final = NumberedRegistry[Event](family='event')


def register_event(event_class: EventClass) -> EventClass:
    """Add an event class to the catalogue."""
    _registry.register(event_class)
    return event_class


def get_events() -> list[type[Event]]:
    """Get the event classes in the order of their numbers."""
    return _registry.get_all()


class _EventFormatter(std_logging.Formatter):
    """Format log records as text for people."""

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
    """Format log records as one JSON object a line."""

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
    """Send log records to standard error in the chosen format."""
    # absl warns about early logging until its flags are parsed.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    formatter = _JsonEventFormatter() if as_json else _EventFormatter()
    logging.get_absl_handler().setFormatter(formatter)
    logging.set_verbosity(logging.INFO)
    for name in _CHATTY_LOGGERS:
        std_logging.getLogger(name).setLevel(std_logging.ERROR)


class StreamHandler(std_logging.Handler):
    """Write records as JSON lines, bounded for each event."""

    def __init__(
        self,
        process: str,
        stream: NonBlockingStream,
        metrics: Metrics,
    ) -> None:
        """Write to a stream without ever waiting for its reader."""
        super().__init__()
        self.setFormatter(_JsonEventFormatter())
        self.budget = EventBudget()
        self.process = process
        self.stream = stream
        self.metrics = metrics

    def emit(self, record: std_logging.LogRecord) -> None:
        """Write a record unless its event is over its budget."""
        event = getattr(record, 'event', None)
        number = 0 if event is None else event.number
        is_written = self.budget.take(number, record.created)
        if is_written:
            left_out = self.budget.pop_left_out(number)
            is_written = self._write(record, left_out)
            if not is_written:
                self.budget.note_left_out(number, left_out + 1)
        if not is_written:
            name = _NO_EVENT if event is None else event.name
            self.metrics.log_lines_left_out.labels(name).inc()

    def _write(self, record: std_logging.LogRecord, left_out: int) -> bool:
        line = self.format(record)
        extra = f', "left_out": {left_out}' if left_out else ''
        text = f'{{"process": "{self.process}"{extra}, {line[1:]}\n'
        return self.stream.write(text.encode())


def set_up_stream_logging(process: str, metrics: Metrics) -> None:
    """Send log records to standard output as bounded JSON lines."""
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
    """Write an event to the log."""
    logging.log(event.level.value, '%s', event.name, extra={'event': event})
