"""Random outages, partitions and wiped disks of hosts with voters."""

from collections.abc import Iterable
from random import Random
from typing import Final

from hornbeamstair_core.ids import ProcessId
from tests.support.member_fleet import MemberFleet, make_fleet
from tests.support.random_voters import check_payloads

__all__ = ('check_service', 'run_transfers', 'run_members', 'wipe_during')

# Targets of the deployments: a host that is back counts as failed for the
# catch-up time; payloads are accepted again within the recovery time.
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
    """Run random failures within the fault tolerance; check the service."""
    rng = Random(seed)
    layout, fault_tolerance = rng.choice(_LAYOUTS)
    fleet = make_fleet(seed, layout, fault_tolerance)
    fleet.run(CATCH_UP_SECONDS)
    for _ in range(_ROUNDS):
        _fail_some(fleet, rng)
        check_service(fleet)
        fleet.run(CATCH_UP_SECONDS)
    return fleet


def run_transfers(seed: int) -> MemberFleet:
    """Transfer the leadership before and after a wiped disk."""
    rng = Random(seed)
    layout, fault_tolerance = rng.choice(_LAYOUTS)
    fleet = make_fleet(seed, layout, fault_tolerance)
    fleet.run(CATCH_UP_SECONDS)
    for _ in range(_ROUNDS):
        first, second, wiped = _choose_hosts(fleet, rng)
        _transfer(fleet, second)
        wipe_during(fleet, (wiped,), restarts_all=False)
        fleet.run(CATCH_UP_SECONDS)
        fleet.partitioned = {wiped}
        _transfer(fleet, first)
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
    """Wipe disks while their hosts, or all hosts, restart."""
    lost = list(wiped)
    stopped = [
        host
        for host in fleet.voters
        if fleet.is_on(host) and (restarts_all or host in lost)
    ]
    for host in stopped:
        fleet.stop(host)
    for wiped_host in lost:
        fleet.wipe(wiped_host)
    fleet.run(1)
    for started in stopped:
        fleet.start(started)


def check_service(fleet: MemberFleet) -> None:
    """Heal all faults; check that a leader holds all accepted payloads."""
    fleet.partitioned.clear()
    for host in fleet.voters:
        if not fleet.is_on(host):
            fleet.start(host)
    network = fleet.network
    end = network.now + RECOVERY_SECONDS
    accepted = len(network.accepted)
    while len(network.accepted) <= accepted:
        assert network.now < end, (
            'no payload was accepted within the recovery time'
        )
        fleet.run(0.2)
    fleet.run(1)
    check_payloads(network, network.find_leaders()[0])


def _choose_hosts(fleet: MemberFleet, rng: Random) -> list[ProcessId]:
    """Return the host of the leader and two random hosts of voters."""
    leader, *others = fleet.find_voting()
    return [leader, *rng.sample(others, 2)]


def _transfer(fleet: MemberFleet, host: ProcessId) -> None:
    """Transfer the leadership to the voter of a host."""
    network = fleet.network
    network.transfer(network.find_leaders()[0], fleet.voters[host])
    fleet.run(0.4)


def _fail_some(fleet: MemberFleet, rng: Random) -> None:
    hosts = sorted(fleet.voters)
    if rng.choice((True, False)):
        zone = rng.choice(sorted(set(fleet.zones.values())))
        fleet.partitioned = set(fleet.get_zone(zone))
    else:
        for host in rng.sample(hosts, rng.randint(0, fleet.fault_tolerance)):
            fleet.stop(host)
    fleet.run(rng.uniform(0, 8))
    if rng.choice((True, False)) and fleet.network.find_leaders():
        # Prefer hosts of reachable voters, whose failure matters most.
        hosts = sorted(set(fleet.find_voting()) - fleet.partitioned) or hosts
    count = min(len(hosts), rng.randint(0, fleet.fault_tolerance))
    wiped = rng.sample(hosts, count)
    wipe_during(fleet, wiped, restarts_all=rng.choice((True, False)))
    fleet.run(rng.uniform(0, 8))
