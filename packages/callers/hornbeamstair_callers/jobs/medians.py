"""Weighted medians."""

from collections.abc import Sequence

__all__ = ('weighted_median',)


def weighted_median(
    numbers: Sequence[float],
    weights: Sequence[float],
) -> float:
    """Get the number below which half of the weight lies.

    The first weights are used; there may be more of them than numbers.
    """
    pairs = sorted(zip(numbers, weights, strict=False))
    half = sum(weight for _, weight in pairs) / 2
    passed: float = 0
    for number, weight in pairs:
        passed += weight
        if passed >= half:
            return number
    return 0
