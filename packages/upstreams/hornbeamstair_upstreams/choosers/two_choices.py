"""Policy that chooses the less loaded of two random upstreams."""

from collections.abc import Sequence
from random import Random
from typing import ClassVar

from hornbeamstair_upstreams.choosers.base import UpstreamChooser
from hornbeamstair_upstreams.lifecycle import Upstream

__all__ = ('TwoChoicesChooser',)


class TwoChoicesChooser(UpstreamChooser):
    """Power of two choices: compares two candidates drawn at random."""

    name: ClassVar[str] = 'two_choices'

    def choose(self, candidates: Sequence[Upstream], rng: Random) -> Upstream:
        """Choose the one of two candidates that has more free slots."""
        first = rng.choice(candidates)
        second = rng.choice(candidates)
        if first.free_slots >= second.free_slots:
            return first
        return second
