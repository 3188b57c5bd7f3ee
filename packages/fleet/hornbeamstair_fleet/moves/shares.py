"""Sharing of the total capacity among pools."""

from collections.abc import Mapping

from attrs import frozen

from hornbeamstair_core.ids import PoolName

__all__ = ('CapacityClaim', 'share_capacity')


@frozen
class CapacityClaim:
    """CPU that a pool can use now, and its forecast requirement."""

    usage: float
    required: float


def share_capacity(
    claims: Mapping[PoolName, CapacityClaim],
    total: float,
) -> dict[PoolName, float]:
    """Share the total capacity among pools.

    If the pools together require more than the total, current usage takes
    precedence over forecasts. If current usage alone exceeds the total, the
    pools with the smallest usage are satisfied first, so that a burst in one
    pool does not starve the others.
    """
    remaining = total - sum(claim.usage for claim in claims.values())
    if remaining < 0:
        return _share_usage(claims, total)
    growth = sum(claim.required - claim.usage for claim in claims.values())
    fraction = min(remaining / growth, 1) if growth else 1
    return {
        pool: claim.usage + (claim.required - claim.usage) * fraction
        for pool, claim in claims.items()
    }


def _share_usage(
    claims: Mapping[PoolName, CapacityClaim],
    total: float,
) -> dict[PoolName, float]:
    shares: dict[PoolName, float] = {}
    remaining = total
    by_usage = sorted((claim.usage, pool) for pool, claim in claims.items())
    for usage, pool in by_usage:
        fair_share = remaining / (len(claims) - len(shares))
        shares[pool] = min(usage, fair_share)
        remaining -= shares[pool]
    return shares
