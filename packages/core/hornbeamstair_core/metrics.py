"""Prometheus metrics of one process."""

from attrs import define, field
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from hornbeamstair_core.failures import Failure

__all__ = ('Metrics',)


@define
class Metrics:
    """Counters, gauges and histograms of one process."""

    registry: CollectorRegistry = field(factory=CollectorRegistry)
    refusals: Counter = field(init=False)
    retries: Counter = field(init=False)
    outcomes: Counter = field(init=False)
    start_wait: Histogram = field(init=False)
    gauges: Gauge = field(init=False)
    orders: Histogram = field(init=False)
    leader_calls: Histogram = field(init=False)
    log_writes: Histogram = field(init=False)
    loop_late: Histogram = field(init=False)
    placement_time: Histogram = field(init=False)
    dropped_log_lines: Counter = field(init=False)
    places: Counter = field(init=False)
    refused_clients: Counter = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register the metrics."""
        self.refusals = Counter(
            'hornbeamstair_refusals',
            'Requests refused, by result code.',
            ['code', 'reason'],
            registry=self.registry,
        )
        self.retries = Counter(
            'hornbeamstair_retries',
            'Retries made or denied, by reason.',
            ['reason'],
            registry=self.registry,
        )
        self.outcomes = Counter(
            'hornbeamstair_calls',
            'Calls finished, by service and outcome.',
            ['service', 'outcome'],
            registry=self.registry,
        )
        self.start_wait = Histogram(
            'hornbeamstair_start_wait_seconds',
            'Time from the arrival of a call to its first attempt.',
            ['service'],
            registry=self.registry,
        )
        self.orders = Histogram(
            'hornbeamstair_order_seconds',
            'Time from an order to a worker to its answer, by outcome.',
            ['order', 'outcome'],
            registry=self.registry,
        )
        self.leader_calls = Histogram(
            'hornbeamstair_leader_call_seconds',
            'Time of a request to the leader, by kind and outcome.',
            ['request', 'outcome'],
            registry=self.registry,
        )
        self.log_writes = Histogram(
            'hornbeamstair_log_write_seconds',
            'Time for which the event loop waited for the log disk, by write.',
            ['write'],
            registry=self.registry,
        )
        self.loop_late = Histogram(
            'hornbeamstair_loop_late_seconds',
            'Delay with which the event loop called a timer.',
            registry=self.registry,
        )
        self.placement_time = Histogram(
            'hornbeamstair_placing_seconds',
            'Time for which one placement pass blocked the event loop.',
            registry=self.registry,
        )
        self.dropped_log_lines = Counter(
            'hornbeamstair_log_lines_left_out',
            'Lines of the event log that were dropped, by event.',
            ['event'],
            registry=self.registry,
        )
        self.places = Counter(
            'hornbeamstair_places',
            'Tasks that prefer a rack, by place and by outcome of their wait.',
            ['outcome'],
            registry=self.registry,
        )
        self.refused_clients = Counter(
            'hornbeamstair_clients_refused',
            'Connections refused or closed, by the limit that they met.',
            ['cause'],
            registry=self.registry,
        )
        self.gauges = Gauge(
            'hornbeamstair_state',
            'Sizes of the state in memory, by kind.',
            ['kind'],
            registry=self.registry,
        )

    def count_refusal(self, failure: Failure) -> None:
        """Count a refusal by its result code."""
        self.refusals.labels(failure.number, failure.name).inc()

    def count_retry(self, reason: str) -> None:
        """Count a retry by its reason."""
        self.retries.labels(reason).inc()

    def get_exposition(self) -> bytes:
        """Get the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
