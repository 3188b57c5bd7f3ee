"""Check of the promised concurrency against the pools."""

from collections import Counter
from collections.abc import Iterable

from expression import Error, Ok, Result

from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import ServiceName
from hornbeamstair_fleet.messages import Pool
from hornbeamstair_operators.failures import OverPromiseFailure
from hornbeamstair_operators.messages import Contract

__all__ = ('check_capacity',)


def check_capacity(
    contracts: Iterable[Contract],
    pools: Iterable[Pool],
) -> Result[None, Failure]:
    """Refuse contracts that promise more slots than the pools can guarantee.

    A pool guarantees the slots that remain when the rack with the most slots
    fails. A service without a declared pool is not checked.
    """
    promised_by_service: Counter[ServiceName] = Counter()
    for contract in contracts:
        for promise in contract.services:
            promised_by_service[promise.service] += promise.concurrency
    for pool in pools:
        failure = _find_shortage(pool, promised_by_service[pool.service])
        if failure is not None:
            return Error(failure)
    return Ok(None)


def _find_shortage(pool: Pool, promised_slots: int) -> Failure | None:
    slots_by_rack: Counter[str] = Counter()
    for host in pool.hosts:
        slots_by_rack[f'{host.zone}/{host.rack}'] += host.slots
    lost_domain = max(slots_by_rack, key=slots_by_rack.__getitem__, default='')
    available_slots = slots_by_rack.total() - slots_by_rack[lost_domain]
    if promised_slots <= available_slots:
        return None
    return OverPromiseFailure(
        service=pool.service,
        promised_slots=promised_slots,
        available_slots=available_slots,
        lost_domain=lost_domain,
    )
