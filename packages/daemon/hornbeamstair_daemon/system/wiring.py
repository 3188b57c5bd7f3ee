"""Wiring of the process of each role of the system."""

from random import Random
from typing import Final

from hornbeamstair_callers.endpoints.announcing_client import AnnouncingClient
from hornbeamstair_callers.endpoints.host_list import HostList
from hornbeamstair_callers.endpoints.listing import ListingHandler
from hornbeamstair_callers.endpoints.maintenance import MaintenanceController
from hornbeamstair_callers.endpoints.moves import MoveController
from hornbeamstair_callers.endpoints.worker_requests import WorkerRequestHandler
from hornbeamstair_callers.endpoints.workspace_listing import (
    WorkspaceListingHandler,
)
from hornbeamstair_callers.jobs.learned_run_times import LearnedRunTimes
from hornbeamstair_callers.jobs.policies import SchedulingPolicies
from hornbeamstair_callers.jobs.runner import WorkRunner
from hornbeamstair_callers.jobs.scheduler import SchedulerState
from hornbeamstair_callers.jobs.service import (
    JobRequestHandler,
)
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_callers.relay.endpoints.relay import OrderRelay
from hornbeamstair_callers.relay.endpoints.sender import RelayingSender
from hornbeamstair_core.clock import get_moment, get_monotonic_time
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.requests import DoneReply
from hornbeamstair_daemon.system.identity import open_identity
from hornbeamstair_daemon.system.process import (
    ControlProcess,
    EntryProcess,
)
from hornbeamstair_daemon.system.settings import SystemSettings
from hornbeamstair_fleet.hosts import HostsClient
from hornbeamstair_fleet.moves.table import MoveTable
from hornbeamstair_fleet.waves.service import WaveRequestHandler
from hornbeamstair_fleet.waves.table import WaveTable
from hornbeamstair_operators.manifest.service import ManifestRequestHandler
from hornbeamstair_operators.manifest.table import ManifestTable
from hornbeamstair_replicas.calls.codec import RequestCodec
from hornbeamstair_replicas.calls.endpoints.channel import LeaderChannel
from hornbeamstair_replicas.calls.endpoints.client import (
    LeaderClient,
    RequestService,
)
from hornbeamstair_replicas.calls.targets import LeaderTargets
from hornbeamstair_replicas.groups.node import open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.membership.planner import MembershipPlanner
from hornbeamstair_replicas.membership.runner import MembershipController
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.storage.file import FileLogStorage
from hornbeamstair_replicas.storage.instrumented import InstrumentedStorage
from hornbeamstair_replicas.tables.codec import TableStateMachine
from hornbeamstair_replicas.transport.resolvers import (
    AddressedPeersResolver,
    get_addressed_process,
)
from hornbeamstair_replicas.transport.websocket import WebsocketTransport
from hornbeamstair_replicas.voter_ids import get_address
from hornbeamstair_replicas.voting.timing import Timing
from hornbeamstair_upstreams.work.instrumented import InstrumentedSender
from hornbeamstair_upstreams.work.known_announcements import (
    KnownAnnouncements,
)
from hornbeamstair_upstreams.work.places.policies import ExpectedGain
from hornbeamstair_upstreams.work.places.waits import PlaceTerms
from hornbeamstair_upstreams.work.sender import WorkerSender
from hornbeamstair_upstreams.work.table import WorkerTable

__all__ = ('get_seeds', 'wire_control', 'wire_entry')

_GROUP: Final = 'work'
_HANDLERS: Final = (
    JobRequestHandler,
    ListingHandler,
    ManifestRequestHandler,
    WaveRequestHandler,
    WorkerRequestHandler,
    WorkspaceListingHandler,
)


def get_seeds(settings: SystemSettings) -> tuple[VoterId, ...]:
    """Get the processes to ask first for the leader."""
    return tuple(
        get_address(get_addressed_process(seed)) for seed in settings.seeds
    )


def wire_entry(settings: SystemSettings, metrics: Metrics) -> EntryProcess:
    """Wire a process that forwards requests of callers to the leader."""
    own = get_address(get_addressed_process(settings.listen_address))
    transport = _make_transport(settings, own, metrics)
    channel = _make_channel(settings, transport, metrics)
    client = LeaderClient(channel, _make_codec(), metrics, get_monotonic_time)
    return EntryProcess(settings, metrics, transport, channel, client)


def wire_control(
    settings: SystemSettings,
    metrics: Metrics,
    sender: WorkerSender,
    hosts: HostsClient | None,
) -> ControlProcess:
    """Wire a process that may become a voter.

    ValueError if the settings name no data folder.
    """
    if settings.data_folder is None:
        raise ValueError('a process of the role control needs a data folder')
    identity = open_identity(
        get_addressed_process(settings.listen_address),
        settings.data_folder,
        tuple(get_addressed_process(seed) for seed in settings.seeds),
        bootstrap=settings.bootstrap,
    )
    transport = _make_transport(settings, identity.voter, metrics)
    state = SchedulerState(JobTable(), ManifestTable(), WorkerTable())
    waves = WaveTable()
    moves = MoveTable()
    state_machine = TableStateMachine(
        (state.jobs, state.manifest, state.workers, waves, moves),
    )
    node = open_node(
        _GROUP,
        identity.voter,
        InstrumentedStorage(
            _GROUP,
            FileLogStorage(settings.data_folder / _GROUP),
            metrics,
            get_monotonic_time,
        ),
        state_machine,
        identity.founders,
        Timing(),
        Random(),
        get_monotonic_time(),
    )
    group = VotingGroup(_GROUP, node, transport, get_monotonic_time)
    channel = _make_channel(settings, transport, metrics)
    codec = _make_codec()
    membership = MembershipController(
        group,
        channel,
        settings.zone,
        get_monotonic_time,
        MembershipPlanner(settings.losses),
        is_relay=True,
    )
    relaying_sender = RelayingSender(
        sender,
        transport,
        metrics,
        get_monotonic_time,
        state.workers.find_zone,
        lambda: len(state.workers.workers),
        membership.get_relays,
        membership.relays.get_lowest_reading,
    )
    relay = OrderRelay(
        transport,
        sender,
        metrics,
        state.jobs.find_text,
        lambda: node.voter.state.term,
        get_monotonic_time,
    )
    runner = WorkRunner(
        group,
        state_machine,
        state,
        InstrumentedSender(relaying_sender, metrics, get_monotonic_time),
        settings.lease,
        metrics,
        get_moment,
        lambda: moves.get_ordered_workers() | waves.get_ordered_workers(),
        lambda: _make_policies(settings),
    )
    maintenance = _make_maintenance_controller(
        settings, waves, moves, runner, hosts
    )
    handlers = (
        ListingHandler(
            state,
            runner,
            lambda: () if maintenance is None else maintenance.get_hosts(),
            get_moment,
        ),
        WorkspaceListingHandler(state, runner, get_moment),
        JobRequestHandler(state, runner, get_moment),
        ManifestRequestHandler(state.manifest, runner),
        WorkerRequestHandler(runner, get_moment),
        WaveRequestHandler(waves, runner, get_moment),
    )
    channel.service = RequestService(
        group,
        handlers,
        codec,
        lambda: runner.find_scheduler() is not None,
    )
    return ControlProcess(
        settings,
        metrics,
        transport,
        channel,
        AnnouncingClient(
            channel,
            codec,
            metrics,
            get_monotonic_time,
            KnownAnnouncements(state.workers),
        ),
        group,
        membership,
        runner,
        relay,
        maintenance,
    )


def _make_maintenance_controller(
    settings: SystemSettings,
    waves: WaveTable,
    moves: MoveTable,
    runner: WorkRunner,
    client: HostsClient | None,
) -> MaintenanceController | None:
    if client is None:
        return None
    label = settings.label
    hosts = HostList(client, get_monotonic_time)
    move_controller = MoveController(
        label, moves, waves, runner, hosts, get_moment
    )
    return MaintenanceController(
        label,
        waves,
        runner,
        hosts,
        get_moment,
        move_controller,
    )


def _make_policies(settings: SystemSettings) -> SchedulingPolicies:
    return SchedulingPolicies(
        places=PlaceTerms(settings.rack_factor, ExpectedGain()),
        place_run_times=LearnedRunTimes(),
    )


def _make_codec() -> RequestCodec:
    requests = [kind for handler in _HANDLERS for kind in handler.requests]
    replies = [kind for handler in _HANDLERS for kind in handler.replies]
    return RequestCodec(requests, (DoneReply, *replies))


def _make_transport(
    settings: SystemSettings,
    own: VoterId,
    metrics: Metrics,
) -> WebsocketTransport:
    return WebsocketTransport(
        own,
        listen_address=settings.listen_address,
        # No authentication: no other program can reach this network.
        key=b'',
        metrics=metrics,
        resolver=AddressedPeersResolver(),
    )


def _make_channel(
    settings: SystemSettings,
    transport: WebsocketTransport,
    metrics: Metrics,
) -> LeaderChannel:
    return LeaderChannel(
        transport,
        LeaderTargets(get_seeds(settings)),
        metrics,
        get_monotonic_time,
    )
