"""Shares of the pools in the room that there is."""

from collections.abc import Mapping

from attrs import frozen

from hornbeamstair_core.ids import PoolName

__all__ = ('RoomClaim', 'share_room')


@frozen
class RoomClaim:
    """Processor that a pool could use now, and that it needs soon."""

    used: float
    needed: float


def share_room(
    claims: Mapping[PoolName, RoomClaim],
    total: float,
) -> dict[PoolName, float]:
    """Share room among pools.

    Answers a burst while others go on: if the pools together need more than
    there is, what they could use now goes before what they expect, and small
    pools are served whole before large ones.
    """
    left = total - sum(claim.used for claim in claims.values())
    if left < 0:
        return _share_used(claims, total)
    expected = sum(claim.needed - claim.used for claim in claims.values())
    part = min(left / expected, 1) if expected else 1
    return {
        pool: claim.used + (claim.needed - claim.used) * part
        for pool, claim in claims.items()
    }


def _share_used(
    claims: Mapping[PoolName, RoomClaim],
    total: float,
) -> dict[PoolName, float]:
    shares: dict[PoolName, float] = {}
    left = total
    by_use = sorted((claim.used, pool) for pool, claim in claims.items())
    for used, pool in by_use:
        fair = left / (len(claims) - len(shares))
        shares[pool] = min(used, fair)
        left -= shares[pool]
    return shares
