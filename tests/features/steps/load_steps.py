"""Steps with measurements of the log storage."""

from typing import Any
from unittest.mock import patch

from attrs import define
from behave import given, then

from hornbeamstair_core.metrics import Metrics
from hornbeamstair_replicas.events import LogLoadEvent
from hornbeamstair_replicas.messages import LogEntry
from hornbeamstair_replicas.storage.instrumented import InstrumentedStorage
from hornbeamstair_replicas.storage.memory import MemoryLogStorage

_LOG_EVENT = 'hornbeamstair_replicas.storage.instrumented.log_event'


@define
class _SlowStorage(MemoryLogStorage):
    """Storage whose syncs advance a simulated clock."""

    now: float = 0
    sync_seconds: float = 0

    def sync(self) -> None:
        """Sync and advance the clock by the duration of a sync."""
        MemoryLogStorage.sync(self)
        self.now += self.sync_seconds

    def get_time(self) -> float:
        """Return the simulated time in seconds."""
        return self.now


@given(
    'a stored log of {count:d} entries on a disk that takes {span:d} ms a sync',
)
def store_slowly(context: Any, count: int, span: int) -> None:
    """Store entries with a sync each; the last one is at one second."""
    slow = _SlowStorage(sync_seconds=span / 1000)
    context.metrics = Metrics()
    measured = InstrumentedStorage('work', slow, context.metrics, slow.get_time)
    measured.load()
    with patch(_LOG_EVENT) as log:
        for index in range(1, count + 1):
            measured.append([LogEntry(index, 1, b'payload')])
            if index == count:
                slow.now += 1 - slow.now
            measured.sync()
    context.events = [call.args[0] for call in log.call_args_list]


@then(
    'one log_load event reports {entries:d} entries, {syncs:d} syncs '
    'and {span:d} ms',
)
def check_load(context: Any, entries: int, syncs: int, span: int) -> None:
    """Check the only event."""
    assert len(context.events) == 1
    event = context.events[0]
    assert isinstance(event, LogLoadEvent)
    assert (event.entries, event.syncs, event.sync_ms) == (entries, syncs, span)


@then('the metrics count {count:d} writes of kind {kind}')
def check_metrics(context: Any, count: int, kind: str) -> None:
    """Check the count of the histogram."""
    exposition = context.metrics.get_exposition().decode()
    name = 'hornbeamstair_log_write_seconds_count'
    assert f'{name}{{write="{kind}"}} {float(count)}' in exposition
