"""Sharing of the total capacity among pools."""

from collections.abc import Mapping

from attrs import frozen

from hornbeamstair_core.ids import PoolName

__all__ = ('CapacityClaim', 'share_capacity')


@frozen
class CapacityClaim:
    """CPU that a pool can use now, and its forecast requirement."""

    demand: float
    required: float


def share_capacity(
    claims: Mapping[PoolName, CapacityClaim],
    total: float,
) -> dict[PoolName, float]:
    """Share the total capacity among pools.

    If the pools together require more than the total, current demand takes
    precedence over forecasts. If current demand alone exceeds the total, the
    pools with the smallest demand are satisfied first, so that a burst in one
    pool does not starve the others.
    """
    remaining = total - sum(claim.demand for claim in claims.values())
    if remaining < 0:
        return _share_demand(claims, total)
    growth = sum(claim.required - claim.demand for claim in claims.values())
    fraction = min(remaining / growth, 1) if growth else 1
    return {
        pool: claim.demand + (claim.required - claim.demand) * fraction
        for pool, claim in claims.items()
    }


def _share_demand(
    claims: Mapping[PoolName, CapacityClaim],
    total: float,
) -> dict[PoolName, float]:
    shares: dict[PoolName, float] = {}
    remaining = total
    by_demand = sorted((claim.demand, pool) for pool, claim in claims.items())
    for demand, pool in by_demand:
        fair_share = remaining / (len(claims) - len(shares))
        shares[pool] = min(demand, fair_share)
        remaining -= shares[pool]
    return shares
