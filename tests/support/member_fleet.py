"""Machines with voters that come and go, led by the planner of members."""

from itertools import product
from random import Random
from typing import Final

from attrs import define, field

from hornbeamstair_core.ids import ProcessId, ZoneName
from hornbeamstair_replicas.membership.planner import MembershipPlanner
from hornbeamstair_replicas.membership.reconciliation import reconcile_members
from hornbeamstair_replicas.messages import VoterId
from tests.support.voters import STEP, VoterNetwork

__all__ = ('MemberFleet', 'make_fleet')

_REPORT_STEPS: Final = 25
_PLAN_STEPS: Final = 5
_PROPOSE_STEPS: Final = 5


@define(eq=False)
class MemberFleet:
    """Machines in zones, each with a disk that may be wiped."""

    network: VoterNetwork
    zones: dict[ProcessId, ZoneName]
    losses: int
    voters: dict[ProcessId, VoterId]
    planners: dict[VoterId, MembershipPlanner] = field(factory=dict)
    apart: set[ProcessId] = field(factory=set)
    steps: int = 0
    proposed: int = 0

    def start(self, machine: ProcessId) -> None:
        """Start the process of a machine from what its disk holds."""
        voter = self.voters[machine]
        is_joining = voter not in self.network.first_voters
        self.network.start(voter, is_joining=is_joining)
        self.planners[voter] = MembershipPlanner(self.losses)

    def stop(self, machine: ProcessId) -> None:
        """Cut the power of a machine."""
        self.network.crash(self.voters[machine])

    def wipe(self, machine: ProcessId) -> None:
        """Give a machine that is off an empty disk."""
        incarnation = f'{machine}/{len(self.network.storages)}x'
        self.voters[machine] = VoterId(incarnation)

    def is_on(self, machine: ProcessId) -> bool:
        """Tell whether a machine has power."""
        return self.voters[machine] in self.network.nodes

    def get_zone(self, zone: str) -> list[ProcessId]:
        """Get the machines of a zone."""
        return [found for found, name in self.zones.items() if name == zone]

    def get_voters(self) -> tuple[VoterId, ...]:
        """Get the voters as the leader knows them."""
        leader = self.network.find_leaders()[0]
        role = self.network.get_leader_role(leader)
        return role.state.log.get_voters()

    def find_voting(self) -> list[ProcessId]:
        """Find the machines whose disk holds a vote, the leader's first."""
        leader = self.network.find_leaders()[0]
        voting = [
            machine
            for machine, voter in self.voters.items()
            if voter in self.get_voters()
        ]
        return sorted(voting, key=lambda found: self.voters[found] != leader)

    def run(self, seconds: float) -> None:
        """Let time pass under a light load."""
        for _ in range(round(seconds / STEP)):
            self.steps += 1
            self._cut()
            if self.steps % _PROPOSE_STEPS == 0:
                self.proposed += 1
                self.network.propose(str(self.proposed).encode())
            if self.steps % _REPORT_STEPS == 0:
                self._report()
            if self.steps % _PLAN_STEPS == 0:
                self._plan()
            self.network.run(STEP / 2)

    def _report(self) -> None:
        for leader in self.network.find_leaders():
            for machine, voter in self.voters.items():
                is_cut = (voter, leader) in self.network.cuts
                if voter in self.network.nodes and not is_cut:
                    self.planners[leader].handle_report(
                        voter,
                        self.zones[machine],
                        self.network.now,
                    )

    def _plan(self) -> None:
        machines = {voter: machine for machine, voter in self.voters.items()}
        for leader in self.network.find_leaders():
            zone = self.zones[machines[leader]]
            role = self.network.get_leader_role(leader)
            planner = self.planners[leader]
            event = reconcile_members(role, planner, zone, self.network.now)
            if event is not None and event.change == 'RemoveVoter':
                is_present = event.voter in self.voters.values()
                has_surplus = event.voters > planner.get_target_count()
                assert has_surplus or not is_present, event
            self.network.flush(leader)

    def _cut(self) -> None:
        inside = {self.voters[machine] for machine in self.apart}
        outside = set(self.voters.values()) - inside
        self.network.cuts = set(product(inside, outside))
        self.network.cuts.update(product(outside, inside))


def make_fleet(seed: int, layout: str, losses: int) -> MemberFleet:
    """Start machines named by zone, such as a1; the first three found."""
    machines = [ProcessId(name) for name in layout.split()]
    voters = {machine: VoterId(f'{machine}/1') for machine in machines}
    founders = tuple(voters[machine] for machine in machines[:3])
    fleet = MemberFleet(
        VoterNetwork(Random(seed), founders),
        {machine: ZoneName(machine[0]) for machine in machines},
        losses,
        voters,
    )
    for machine in machines:
        fleet.start(machine)
    return fleet
