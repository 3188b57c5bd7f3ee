"""Replication groups of this process, as a voter or a learner."""

from collections.abc import Callable
from random import Random
from time import monotonic

from attrs import frozen

from hornbeamstair_core.metrics import Metrics
from hornbeamstair_daemon.identity import get_initial_voter, get_or_create_voter
from hornbeamstair_daemon.settings import PeerSettings, Settings
from hornbeamstair_replicas.groups.admin import GroupAdmin
from hornbeamstair_replicas.groups.base import ReplicaGroup
from hornbeamstair_replicas.groups.learning import LearnerGroup
from hornbeamstair_replicas.groups.node import open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.learning.members import Member
from hornbeamstair_replicas.learning.source import FeedSource
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.state_machine import StateMachine
from hornbeamstair_replicas.storage.file import FileLogStorage
from hornbeamstair_replicas.transport.base import LocalTransport, PeerTransport
from hornbeamstair_replicas.transport.websocket import WebsocketTransport
from hornbeamstair_replicas.voter_ids import get_address
from hornbeamstair_replicas.voting.timing import Timing

__all__ = ('GroupFactory', 'make_group_factory')


@frozen
class GroupFactory:
    """Factory of the groups that share one transport and identity."""

    settings: Settings
    transport: PeerTransport
    initial_voters: tuple[VoterId, ...]

    def make(self, group: str, state_machine: StateMachine) -> ReplicaGroup:
        """Make a group with this process as a voter or a learner."""
        peers = self.settings.peers
        if peers is None or peers.is_voter(self.settings.process):
            return self._make_voting_group(group, state_machine)
        return self._make_learner_group(group, state_machine, peers)

    def make_admin(
        self,
        group: ReplicaGroup,
        get_revision: Callable[[], int],
    ) -> GroupAdmin:
        """Make the admin channel to the leader of a group."""
        settings = self.settings
        peers = settings.peers
        return GroupAdmin(
            own=Member(settings.process, settings.zone, is_voter=False),
            members=() if peers is None else peers.members,
            group=group,
            transport=self.transport,
            get_revision=get_revision,
            get_time=monotonic,
        )

    def _make_voting_group(
        self,
        group: str,
        state_machine: StateMachine,
    ) -> ReplicaGroup:
        node = open_node(
            group,
            self.transport.own,
            FileLogStorage(self.settings.data_folder / group),
            state_machine,
            self.initial_voters,
            Timing(),
            Random(),
            monotonic(),
        )
        return VotingGroup(group, node, self.transport, monotonic)

    def _make_learner_group(
        self,
        group: str,
        state_machine: StateMachine,
        peers: PeerSettings,
    ) -> ReplicaGroup:
        settings = self.settings
        own = Member(settings.process, settings.zone, is_voter=False)
        source = FeedSource(own, peers.members, monotonic())
        return LearnerGroup(
            group,
            state_machine,
            source,
            self.transport,
            monotonic,
        )


def make_group_factory(
    settings: Settings,
    metrics: Metrics,
    *,
    bootstrap: bool,
) -> GroupFactory:
    """Make the factory; BootstrapError as in get_or_create_voter."""
    peers = settings.peers
    process = settings.process
    if peers is None:
        own = get_initial_voter(process)
        return GroupFactory(settings, LocalTransport(own), (own,))
    own = get_address(process)
    if peers.is_voter(process):
        own = get_or_create_voter(
            process, settings.data_folder, bootstrap=bootstrap
        )
    transport = WebsocketTransport(
        own,
        listen_address=peers.listen_address,
        key=peers.shared_key.encode(),
        metrics=metrics,
    )
    for address in peers.addresses:
        if address.process != process:
            transport.add_peer(address)
    return GroupFactory(settings, transport, _get_initial_voters(peers, own))


def _get_initial_voters(
    peers: PeerSettings,
    own: VoterId,
) -> tuple[VoterId, ...]:
    initial_voters = tuple(
        get_initial_voter(member.process)
        for member in peers.members
        if member.is_voter
    )
    return initial_voters if own in initial_voters else ()
