"""Processes of the system by role: how each starts and stops."""

from abc import ABC, abstractmethod
from asyncio import Task, create_task, sleep
from collections.abc import Sequence
from typing import ClassVar, Final

from attrs import define, field

from hornbeamstair_callers.endpoints.maintenance import MaintenanceController
from hornbeamstair_callers.jobs.runner import WorkRunner
from hornbeamstair_callers.relay.endpoints.relay import OrderRelay
from hornbeamstair_core.background import repeat
from hornbeamstair_core.clock import get_monotonic_time
from hornbeamstair_core.front_end import FrontEnd
from hornbeamstair_core.loop_monitor import LoopMonitor
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_daemon.system.settings import SystemSettings
from hornbeamstair_replicas.calls.endpoints.channel import LeaderChannel
from hornbeamstair_replicas.calls.endpoints.client import LeaderClient
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.membership.runner import MembershipController
from hornbeamstair_replicas.transport.base import PeerTransport

__all__ = ('ControlProcess', 'EntryProcess', 'SystemProcess')

_PROBE_TIMEOUT_SECONDS: Final = 0.5
_PROBE_INTERVAL_SECONDS: Final = 0.4
# Longer than two probe intervals: two answers of the leader are overdue.
_MAX_CONTACT_AGE_SECONDS: Final = 1.0
# The load balancer checks readiness each second and drops a process after
# two failed checks.
_BALANCER_REACTION_SECONDS: Final = 2.6
_TRANSFER_SECONDS: Final = 0.4


@define(eq=False)
class SystemProcess(ABC):
    """Process of the system, with what all roles share."""

    role: ClassVar[str]

    settings: SystemSettings
    metrics: Metrics
    transport: PeerTransport
    channel: LeaderChannel
    client: LeaderClient
    front_ends: list[FrontEnd] = field(factory=list, init=False)
    is_stopping: bool = field(default=False, init=False)
    loop_monitor: LoopMonitor = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Connect the loop monitor to the metrics."""
        self.loop_monitor = LoopMonitor(self.metrics, get_monotonic_time)

    async def start(self) -> None:
        """Start this process and its front ends."""
        self.loop_monitor.start()
        await self.transport.start()
        self.channel.start()
        await self.start_role()
        for front_end in self.front_ends:
            await front_end.start()

    async def stop(self) -> None:
        """Finish the work in progress and stop."""
        self.is_stopping = True
        await self.stop_role()
        for front_end in self.front_ends:
            await front_end.stop()
        await self.transport.stop()
        self.loop_monitor.stop()

    @abstractmethod
    async def start_role(self) -> None:
        """Start the components of this role."""

    @abstractmethod
    async def stop_role(self) -> None:
        """Stop the components of this role."""

    def set_settings(self, settings: SystemSettings) -> None:
        """Replace the settings by reloaded ones."""
        self.settings = settings

    def add_front_ends(self, front_ends: Sequence[FrontEnd]) -> None:
        """Add front ends to start and stop with the process."""
        self.front_ends.extend(front_ends)


@define(eq=False)
class EntryProcess(SystemProcess):
    """Stateless process that forwards requests of callers to the leader."""

    role: ClassVar[str] = 'entry'

    probe_task: 'Task[None] | None' = field(default=None, init=False)

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers here."""
        contact_age = get_monotonic_time() - self.channel.last_contact_at
        return not self.is_stopping and contact_age < _MAX_CONTACT_AGE_SECONDS

    async def start_role(self) -> None:
        """Start to probe the leader."""
        self.probe_task = create_task(repeat('probe', self._probe_leader))

    async def stop_role(self) -> None:
        """Wait until the load balancer has dropped this process."""
        await sleep(
            min(_BALANCER_REACTION_SECONDS, self.settings.grace_seconds / 2)
        )
        if self.probe_task is not None:
            self.probe_task.cancel()

    async def _probe_leader(self) -> float:
        await self.channel.ask(b'', _PROBE_TIMEOUT_SECONDS)
        return _PROBE_INTERVAL_SECONDS


@define(eq=False)
class ControlProcess(SystemProcess):
    """Process that may become a voter, and schedules while it leads."""

    role: ClassVar[str] = 'control'

    group: VotingGroup
    membership: MembershipController
    runner: WorkRunner
    relay: OrderRelay
    maintenance: MaintenanceController | None = None

    async def start_role(self) -> None:
        """Join the group and start the controllers."""
        self.group.start()
        self.membership.start()
        self.runner.start()
        if self.maintenance is not None:
            self.maintenance.start()

    async def stop_role(self) -> None:
        """Transfer the leadership, if held, and leave the group."""
        self.membership.stop()
        if self.maintenance is not None:
            self.maintenance.stop()
        leader_role = self.group.find_leader_role()
        if leader_role.is_ok():
            now = get_monotonic_time()
            peers = leader_role.ok.state.get_peers()
            if peers:
                target = max(
                    peers, key=leader_role.ok.replicator.get_match_index
                )
                leader_role.ok.transfer(target, now)
                self.group.find_leader_role()
                await sleep(_TRANSFER_SECONDS)
        await self.runner.stop()
        self.relay.stop()
        await self.group.stop()
