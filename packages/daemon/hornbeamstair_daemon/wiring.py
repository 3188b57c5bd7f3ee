"""Wiring of one process from the packages of all its peers."""

from collections.abc import Iterable
from random import Random
from time import monotonic, time
from uuid import uuid4

from attrs import define, field, frozen

from hornbeamstair_callers.dispatcher import Dispatcher
from hornbeamstair_callers.front_ends.http import HttpCallFrontEnd
from hornbeamstair_callers.key_codec import KeyStateMachine
from hornbeamstair_callers.key_store import KeyStore
from hornbeamstair_callers.runner import CallRunner
from hornbeamstair_core.front_end import FrontEnd
from hornbeamstair_core.front_ends.guard import ClientGuard
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_daemon.groups import make_group_factory
from hornbeamstair_daemon.settings import Settings
from hornbeamstair_operators.front_end import OperatorsHttpFrontEnd
from hornbeamstair_operators.limits import ServiceLimits, derive_limits
from hornbeamstair_operators.messages import Contract
from hornbeamstair_operators.service import OperatorsService
from hornbeamstair_operators.state import ControlState
from hornbeamstair_operators.state_machine import ControlStateMachine
from hornbeamstair_replicas.groups.admin import GroupAdmin
from hornbeamstair_replicas.groups.base import GroupStatus, ReplicaGroup
from hornbeamstair_replicas.transport.base import PeerTransport
from hornbeamstair_upstreams.choosers.two_choices import TwoChoicesChooser
from hornbeamstair_upstreams.client import UpstreamClient
from hornbeamstair_upstreams.directory import UpstreamDirectory
from hornbeamstair_upstreams.front_end import UpstreamsHttpFrontEnd
from hornbeamstair_upstreams.messages import Announcement

__all__ = ('Process', 'ProcessStatus', 'wire_process')


@frozen
class UpstreamStatus:
    """Upstream in the status shown to operators."""

    upstream: str
    service: str
    state: str
    slots: int
    in_flight: int


@frozen
class ProcessStatus:
    """Status of one process shown to operators."""

    process: str
    zone: str
    is_ready: bool
    revision: int
    contracts: int
    pools: int
    calls: int
    groups: tuple[GroupStatus, ...]
    upstreams: tuple[UpstreamStatus, ...]


@define(eq=False)
class Process:
    """Components of one process, started and stopped together."""

    settings: Settings
    transport: PeerTransport
    # Replication group of the contracts and pools.
    control: ReplicaGroup
    control_machine: ControlStateMachine
    admin: GroupAdmin
    # Replication group of the idempotency keys.
    keys: ReplicaGroup
    directory: UpstreamDirectory
    runner: CallRunner
    metrics: Metrics
    front_ends: list[FrontEnd] = field(factory=list)

    def is_ready(self) -> bool:
        """Return whether the load balancer may send calls here."""
        is_caught_up = self.control.is_caught_up() and self.keys.is_caught_up()
        return self.runner.is_ready and is_caught_up

    def set_limits(self, state: ControlState) -> None:
        """Set the limits of callers from all contracts in force."""
        self.runner.dispatcher.set_limits(
            _derive_all_limits(state.tables.contracts.values()),
            monotonic(),
        )

    def start_queued_calls(self, announcement: Announcement) -> None:
        """Start queued calls of the service of an announcement."""
        self.runner.start_queued_calls(announcement.service)

    def get_status(self) -> ProcessStatus:
        """Get the status of the process."""
        state = self.control_machine.state
        return ProcessStatus(
            process=self.settings.process,
            zone=self.settings.zone,
            is_ready=self.is_ready(),
            revision=state.revision,
            contracts=len(state.tables.contracts),
            pools=len(state.tables.pools.pools),
            calls=len(self.runner.dispatcher.calls),
            groups=(self.control.get_status(), self.keys.get_status()),
            upstreams=tuple(self._get_upstreams()),
        )

    def _get_upstreams(self) -> Iterable[UpstreamStatus]:
        for upstream in self.directory.upstreams.values():
            announcement = upstream.announcement
            yield UpstreamStatus(
                upstream=announcement.upstream,
                service=announcement.service,
                state=upstream.state,
                slots=announcement.slots,
                in_flight=upstream.in_flight,
            )


def wire_process(settings: Settings, *, bootstrap: bool = False) -> Process:
    """Wire a process; BootstrapError as in get_or_create_voter."""
    metrics = Metrics()
    directory = UpstreamDirectory()
    control_machine = ControlStateMachine()
    key_machine = KeyStateMachine()
    factory = make_group_factory(settings, metrics, bootstrap=bootstrap)
    keys = factory.make('keys', key_machine)
    control = factory.make('control', control_machine)
    process = Process(
        settings=settings,
        transport=factory.transport,
        control=control,
        admin=factory.make_admin(
            control,
            lambda: control_machine.state.revision,
        ),
        control_machine=control_machine,
        keys=keys,
        directory=directory,
        runner=CallRunner(
            dispatcher=Dispatcher(directory, TwoChoicesChooser(), Random()),
            client=UpstreamClient(settings.answer_seconds),
            keys=KeyStore(
                group=keys,
                state_machine=key_machine,
                owner=f'{settings.process}/{uuid4()}',
                get_wall_time=time,
            ),
            metrics=metrics,
            get_time=monotonic,
        ),
        metrics=metrics,
    )
    control_machine.observers.append(process.set_limits)
    process.front_ends.extend(_get_front_ends(process))
    return process


def _get_front_ends(process: Process) -> Iterable[FrontEnd]:
    listen_addresses = process.settings.listen_addresses
    guard = ClientGuard(process.settings.client_limits, process.metrics)
    yield OperatorsHttpFrontEnd(
        listen_addresses.operators,
        service=OperatorsService(
            process.control,
            process.control_machine,
            process.admin,
        ),
        metrics=process.metrics,
        get_status=process.get_status,
        token=process.settings.operators_token,
        guard=guard,
    )
    yield UpstreamsHttpFrontEnd(
        listen_addresses.upstreams,
        directory=process.directory,
        metrics=process.metrics,
        get_time=monotonic,
        on_announced=process.start_queued_calls,
        guard=guard,
    )
    yield HttpCallFrontEnd(
        listen_addresses.callers,
        runner=process.runner,
        is_ready=process.is_ready,
        guard=guard,
    )


def _derive_all_limits(
    contracts: Iterable[Contract],
) -> Iterable[ServiceLimits]:
    for contract in contracts:
        yield from derive_limits(contract)
