"""Capture of the log lines that a scenario writes."""

import json
from typing import Any

from absl import logging

from hornbeamstair_core.events import StreamHandler
from hornbeamstair_core.log_stream import NonBlockingStream
from hornbeamstair_core.metrics import Metrics


def start_log(context: Any, stream: NonBlockingStream) -> StreamHandler:
    """Write the log events of a scenario to a stream."""
    context.metrics = Metrics()
    handler = StreamHandler('control-1', stream, context.metrics)
    context.handler = handler
    verbosity = logging.get_verbosity()
    logger = logging.get_absl_logger()
    logger.addHandler(handler)
    context.add_cleanup(logging.set_verbosity, verbosity)
    context.add_cleanup(logger.removeHandler, handler)
    logging.set_verbosity(logging.INFO)
    return handler


def capture_log(context: Any) -> StreamHandler:
    """Capture the log lines of a scenario in memory."""
    context.written = []
    return start_log(
        context,
        NonBlockingStream(1, lambda _, line: _capture(context, line)),
    )


def read_log(context: Any) -> list[dict[str, Any]]:
    """Decode the captured lines."""
    return [json.loads(line) for line in context.written]


def _capture(context: Any, line: bytes) -> int:
    context.written.append(line)
    return len(line)
