"""Random absences, cuts and wiped disks of machines with voters."""

from collections.abc import Iterable
from random import Random
from typing import Final

from hornbeamstair_core.ids import ProcessId
from tests.support.member_fleet import MemberFleet, make_fleet
from tests.support.random_voters import check_journal

__all__ = ('check_service', 'run_handovers', 'run_members', 'wipe_during')

# Bounds of the deployments: a machine that is back counts as lost for as long.
CATCH_UP_SECONDS: Final = 6.0
RECOVERY_SECONDS: Final = 15.0
_ROUNDS: Final = 4
_LAYOUTS: Final = (
    ('a1 b1 c1', 1),
    ('a1 a2 b1 b2 c1 c2', 1),
    ('a1 a2 b1 b2 c1 c2', 2),
    ('a1 b1 c1 d1 e1', 2),
    ('a1 b1 c1 d1 a2 b2 c2 d2', 2),
)


def run_members(seed: int) -> MemberFleet:
    """Run random losses within what is to be borne; check the service."""
    rng = Random(seed)
    layout, losses = rng.choice(_LAYOUTS)
    fleet = make_fleet(seed, layout, losses)
    fleet.run(CATCH_UP_SECONDS)
    for _ in range(_ROUNDS):
        _lose_some(fleet, rng)
        check_service(fleet)
        fleet.run(CATCH_UP_SECONDS)
    return fleet


def run_handovers(seed: int) -> MemberFleet:
    """Hand the leadership away and back around a wiped disk."""
    rng = Random(seed)
    layout, losses = rng.choice(_LAYOUTS)
    fleet = make_fleet(seed, layout, losses)
    fleet.run(CATCH_UP_SECONDS)
    for _ in range(_ROUNDS):
        first, second, wiped = _choose_machines(fleet, rng)
        _hand_over(fleet, second)
        wipe_during(fleet, (wiped,), restarts_all=False)
        fleet.run(CATCH_UP_SECONDS)
        fleet.apart = {wiped}
        _hand_over(fleet, first)
        fleet.run(rng.uniform(1, 3))
        check_service(fleet)
        fleet.run(CATCH_UP_SECONDS)
    return fleet


def wipe_during(
    fleet: MemberFleet,
    wiped: Iterable[ProcessId],
    *,
    restarts_all: bool,
) -> None:
    """Lose disks, and the power of all other machines if asked."""
    lost = list(wiped)
    stopped = [
        machine
        for machine in fleet.voters
        if fleet.is_on(machine) and (restarts_all or machine in lost)
    ]
    for machine in stopped:
        fleet.stop(machine)
    for gone in lost:
        fleet.wipe(gone)
    fleet.run(1)
    for started in stopped:
        fleet.start(started)


def check_service(fleet: MemberFleet) -> None:
    """Mend everything; a leader must hold all that was accepted."""
    fleet.apart.clear()
    for machine in fleet.voters:
        if not fleet.is_on(machine):
            fleet.start(machine)
    network = fleet.network
    end = network.now + RECOVERY_SECONDS
    accepted = len(network.accepted)
    while len(network.accepted) <= accepted:
        assert network.now < end, 'nothing is accepted any more'
        fleet.run(0.2)
    fleet.run(1)
    check_journal(network, network.find_leaders()[0])


def _choose_machines(fleet: MemberFleet, rng: Random) -> list[ProcessId]:
    """Choose the machine that leads, and two others that vote."""
    leader, *others = fleet.find_voting()
    return [leader, *rng.sample(others, 2)]


def _hand_over(fleet: MemberFleet, machine: ProcessId) -> None:
    """Ask the leader to hand over to a machine that votes."""
    network = fleet.network
    network.transfer(network.find_leaders()[0], fleet.voters[machine])
    fleet.run(0.4)


def _lose_some(fleet: MemberFleet, rng: Random) -> None:
    machines = sorted(fleet.voters)
    if rng.choice((True, False)):
        zone = rng.choice(sorted(set(fleet.zones.values())))
        fleet.apart = set(fleet.get_zone(zone))
    else:
        for machine in rng.sample(machines, rng.randint(0, fleet.losses)):
            fleet.stop(machine)
    fleet.run(rng.uniform(0, 8))
    if rng.choice((True, False)) and fleet.network.find_leaders():
        # Voters that can be reached are the ones that matter most.
        machines = sorted(set(fleet.find_voting()) - fleet.apart) or machines
    count = min(len(machines), rng.randint(0, fleet.losses))
    wiped = rng.sample(machines, count)
    wipe_during(fleet, wiped, restarts_all=rng.choice((True, False)))
    fleet.run(rng.uniform(0, 8))
