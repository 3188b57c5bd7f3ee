"""Parts of a process of the system, by role."""

from abc import ABC, abstractmethod
from asyncio import Task, create_task, sleep
from collections.abc import Sequence
from typing import ClassVar, Final

from attrs import define, field

from hornbeamstair_callers.endpoints.maintenance import MaintenanceKeeper
from hornbeamstair_callers.jobs.runner import WorkRunner
from hornbeamstair_core.clock import get_steady_time
from hornbeamstair_core.front_end import FrontEnd
from hornbeamstair_core.loop_watch import LoopWatch
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_daemon.system.settings import SystemSettings
from hornbeamstair_replicas.calls.endpoints.channel import LeaderChannel
from hornbeamstair_replicas.calls.endpoints.client import LeaderClient
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.membership.groups import MembershipKeeper
from hornbeamstair_replicas.transport.base import PeerTransport

__all__ = ('ControlProcess', 'EntryProcess', 'SystemProcess')

_ASK_SECONDS: Final = 0.5
_MONITOR_SECONDS: Final = 0.4
# Two reports of the monitor were missed.
_HEARD_SECONDS: Final = 1.0
# The balancer looks once a second and leaves a process after two misses.
_BALANCER_SECONDS: Final = 2.6
_HANDOVER_SECONDS: Final = 0.4


@define(eq=False)
class SystemProcess(ABC):
    """Process of the system: it serves until it is told to stop."""

    role: ClassVar[str]

    settings: SystemSettings
    metrics: Metrics
    transport: PeerTransport
    channel: LeaderChannel
    client: LeaderClient
    front_ends: list[FrontEnd] = field(factory=list, init=False)
    is_stopping: bool = field(default=False, init=False)
    watch: LoopWatch = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Join the watch on the loop to the metrics."""
        self.watch = LoopWatch(self.metrics, get_steady_time)

    async def start(self) -> None:
        """Start to serve."""
        self.watch.start()
        await self.transport.start()
        self.channel.start()
        await self.start_role()
        for front_end in self.front_ends:
            await front_end.start()

    async def stop(self) -> None:
        """Finish what is in progress and stop."""
        self.is_stopping = True
        await self.stop_role()
        for front_end in self.front_ends:
            await front_end.stop()
        await self.transport.stop()
        self.watch.stop()

    @abstractmethod
    async def start_role(self) -> None:
        """Start what only this role does."""

    @abstractmethod
    async def stop_role(self) -> None:
        """Stop what only this role does."""

    def put_seeds(self, settings: SystemSettings) -> None:
        """Take the seeds of changed settings."""
        self.settings = settings

    def add_front_ends(self, front_ends: Sequence[FrontEnd]) -> None:
        """Serve peers through these front ends."""
        self.front_ends.extend(front_ends)


@define(eq=False)
class EntryProcess(SystemProcess):
    """Process between callers and the leader; it keeps no state."""

    role: ClassVar[str] = 'entry'

    monitoring: 'Task[None] | None' = field(default=None, init=False)

    def is_ready(self) -> bool:
        """Tell whether the balancer may send callers here."""
        silent = get_steady_time() - self.channel.heard_at
        return not self.is_stopping and silent < _HEARD_SECONDS

    async def start_role(self) -> None:
        """Watch whether the leader can be reached."""
        self.monitoring = create_task(self._monitor())

    async def stop_role(self) -> None:
        """Give the balancer time to send callers elsewhere."""
        await sleep(min(_BALANCER_SECONDS, self.settings.grace_seconds / 2))
        if self.monitoring is not None:
            self.monitoring.cancel()

    async def _monitor(self) -> None:
        while True:
            await self.channel.ask(b'', _ASK_SECONDS)
            await sleep(_MONITOR_SECONDS)


@define(eq=False)
class ControlProcess(SystemProcess):
    """Process that may vote, and decides while it leads."""

    role: ClassVar[str] = 'control'

    group: VotingGroup
    keeper: MembershipKeeper
    runner: WorkRunner
    maintenance: MaintenanceKeeper | None = None

    async def start_role(self) -> None:
        """Take part in the group."""
        self.group.start()
        self.keeper.start()
        self.runner.start()
        if self.maintenance is not None:
            self.maintenance.start()

    async def stop_role(self) -> None:
        """Hand the leadership over."""
        self.keeper.stop()
        if self.maintenance is not None:
            self.maintenance.stop()
        role = self.group.find_leading_role()
        if role.is_ok():
            now = get_steady_time()
            peers = role.ok.state.get_peers()
            if peers:
                target = max(peers, key=role.ok.replicator.get_match)
                role.ok.transfer(target, now)
                self.group.find_leading_role()
                await sleep(_HANDOVER_SECONDS)
        await self.runner.stop()
        await self.group.stop()
