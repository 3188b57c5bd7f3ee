"""Control loop that reports to the leader or, as leader, changes voters."""

from asyncio import Task, create_task
from collections.abc import Callable
from typing import Final

from attrs import define, field

from hornbeamstair_core.background import repeat
from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import ZoneName
from hornbeamstair_replicas.calls.endpoints.channel import LeaderChannel
from hornbeamstair_replicas.calls.messages import MemberReport
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.membership.planner import MembershipPlanner
from hornbeamstair_replicas.membership.reconciliation import reconcile_members
from hornbeamstair_replicas.membership.relays import RelayClock, RelayDirectory
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope, PeerMessage
from hornbeamstair_replicas.voting.roles.leader import LeaderRole

__all__ = ('MembershipController',)

_CHANNEL: Final = 'members'
_REPORT_SECONDS: Final = 0.5
# A change takes two passes, and a process that starts waits for both.
_RECONCILE_SECONDS: Final = 0.1
_ASK_TIMEOUT_SECONDS: Final = 0.4


@define(eq=False)
class MembershipController:
    """Reports this process to the leader; as leader, changes the voters."""

    group: VotingGroup
    channel: LeaderChannel
    zone: ZoneName
    get_time: Callable[[], float]
    planner: MembershipPlanner
    # Whether this process sends orders to workers for the leader.
    is_relay: bool = False
    relays: RelayDirectory = field(factory=RelayDirectory)
    control_loop: 'Task[None] | None' = None
    joined_at: float = 0

    def start(self) -> None:
        """Start the control loop."""
        self.joined_at = self.get_time()
        self.group.transport.add_receiver(_CHANNEL, self._receive)
        self.control_loop = create_task(repeat('membership', self._run_pass))

    def stop(self) -> None:
        """Stop the control loop."""
        if self.control_loop is not None:
            self.control_loop.cancel()

    def get_relays(self) -> dict[ZoneName, tuple[VoterId, ...]]:
        """Get the processes of each zone that relay orders and answer."""
        role = self.group.node.voter.leader_role
        if role is None:
            return {}
        now = self.get_time()
        return self.relays.get_responsive(
            {
                peer: role.get_contact_age(peer, now)
                for peer in role.replicator.peers
            },
            now,
        )

    async def _run_pass(self) -> float:
        role = self.group.node.voter.find_leader_role()
        if role.is_ok():
            self._reconcile(role.ok)
            return _RECONCILE_SECONDS
        await self._report()
        return _REPORT_SECONDS

    async def _report(self) -> None:
        state = self.group.node.voter.state
        leader = state.get_recent_leader(self.get_time())
        if not leader:
            await self.channel.ask(b'', _ASK_TIMEOUT_SECONDS)
            leader = self.channel.targets.leader
        if leader:
            report = MemberReport(
                state.voter,
                self.zone,
                self.is_relay,
                self.get_time(),
                self.joined_at,
            )
            self.group.transport.send(
                Envelope(_CHANNEL, state.voter, leader, report),
            )

    def _receive(self, sender: VoterId, message: PeerMessage) -> None:
        if isinstance(message, MemberReport):
            now = self.get_time()
            self.planner.handle_report(message.voter, message.zone, now)
            if message.is_relay and message.clock is not None:
                clock = RelayClock(message.joined_at, message.clock - now)
                self.relays.handle_report(
                    message.voter, message.zone, clock, now
                )

    def _reconcile(self, role: LeaderRole) -> None:
        event = reconcile_members(
            role,
            self.planner,
            self.zone,
            self.get_time(),
        )
        if event is not None:
            log_event(event)
            # Schedules the flush that sends the change.
            self.group.find_leader_role()
