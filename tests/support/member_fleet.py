"""Simulated hosts that fail and return, with membership planners."""

from itertools import product
from random import Random
from typing import Final

from attrs import define, field

from hornbeamstair_core.ids import ProcessId, ZoneName
from hornbeamstair_replicas.membership.planner import MembershipPlanner
from hornbeamstair_replicas.membership.reconciliation import reconcile_members
from hornbeamstair_replicas.messages import VoterId
from tests.support.voters import STEP_SECONDS, VoterNetwork

__all__ = ('MemberFleet', 'make_fleet')

_REPORT_STEPS: Final = 25
_PLAN_STEPS: Final = 5
_PROPOSE_STEPS: Final = 5


@define(eq=False)
class MemberFleet:
    """Hosts in zones, each with a disk that may be wiped."""

    network: VoterNetwork
    zones: dict[ProcessId, ZoneName]
    fault_tolerance: int
    voters: dict[ProcessId, VoterId]
    planners: dict[VoterId, MembershipPlanner] = field(factory=dict)
    partitioned: set[ProcessId] = field(factory=set)
    steps: int = 0
    proposed: int = 0

    def start(self, host: ProcessId) -> None:
        """Start the process of a host from its disk."""
        voter = self.voters[host]
        is_joining = voter not in self.network.initial_voters
        self.network.start(voter, is_joining=is_joining)
        self.planners[voter] = MembershipPlanner(self.fault_tolerance)

    def stop(self, host: ProcessId) -> None:
        """Power off a host."""
        self.network.crash(self.voters[host])

    def wipe(self, host: ProcessId) -> None:
        """Replace the disk of a stopped host by an empty one."""
        voter_id = f'{host}/{len(self.network.storages)}x'
        self.voters[host] = VoterId(voter_id)

    def is_on(self, host: ProcessId) -> bool:
        """Return whether a host is running."""
        return self.voters[host] in self.network.nodes

    def get_zone(self, zone: str) -> list[ProcessId]:
        """Return the hosts of a zone."""
        return [
            host for host, host_zone in self.zones.items() if host_zone == zone
        ]

    def get_voters(self) -> tuple[VoterId, ...]:
        """Return the voters according to the leader."""
        leader = self.network.find_leaders()[0]
        role = self.network.get_leader_role(leader)
        return role.state.log.get_voters()

    def find_voting(self) -> list[ProcessId]:
        """Return the hosts of the voters, that of the leader first."""
        leader = self.network.find_leaders()[0]
        voting = [
            host
            for host, voter in self.voters.items()
            if voter in self.get_voters()
        ]
        return sorted(voting, key=lambda host: self.voters[host] != leader)

    def run(self, seconds: float) -> None:
        """Advance the simulation under a light load."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.steps += 1
            self._partition()
            if self.steps % _PROPOSE_STEPS == 0:
                self.proposed += 1
                self.network.propose(str(self.proposed).encode())
            if self.steps % _REPORT_STEPS == 0:
                self._report()
            if self.steps % _PLAN_STEPS == 0:
                self._plan()
            self.network.run(STEP_SECONDS / 2)

    def _report(self) -> None:
        for leader in self.network.find_leaders():
            for host, voter in self.voters.items():
                is_dropped = (voter, leader) in self.network.dropped_links
                if voter in self.network.nodes and not is_dropped:
                    self.planners[leader].handle_report(
                        voter,
                        self.zones[host],
                        self.network.now,
                    )

    def _plan(self) -> None:
        hosts = {voter: host for host, voter in self.voters.items()}
        for leader in self.network.find_leaders():
            zone = self.zones[hosts[leader]]
            role = self.network.get_leader_role(leader)
            planner = self.planners[leader]
            event = reconcile_members(role, planner, zone, self.network.now)
            if event is not None and event.change == 'RemoveVoter':
                is_present = event.voter in self.voters.values()
                has_surplus = event.voters > planner.get_target_count()
                assert has_surplus or not is_present, event
            self.network.flush(leader)

    def _partition(self) -> None:
        inside = {self.voters[host] for host in self.partitioned}
        outside = set(self.voters.values()) - inside
        self.network.dropped_links = set(product(inside, outside))
        self.network.dropped_links.update(product(outside, inside))


def make_fleet(seed: int, layout: str, fault_tolerance: int) -> MemberFleet:
    """Start hosts named by zone, such as a1; the first three are voters."""
    hosts = [ProcessId(name) for name in layout.split()]
    voters = {host: VoterId(f'{host}/1') for host in hosts}
    initial_voters = tuple(voters[host] for host in hosts[:3])
    fleet = MemberFleet(
        VoterNetwork(Random(seed), initial_voters),
        {host: ZoneName(host[0]) for host in hosts},
        fault_tolerance,
        voters,
    )
    for host in hosts:
        fleet.start(host)
    return fleet
