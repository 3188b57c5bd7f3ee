"""Policy that chooses an upstream at random."""

from collections.abc import Sequence
from random import Random
from typing import ClassVar

from hornbeamstair_upstreams.choosers.base import UpstreamChooser
from hornbeamstair_upstreams.lifecycle import Upstream

__all__ = ('RandomChooser',)


class RandomChooser(UpstreamChooser):
    """Chooses uniformly at random, whatever the load."""

    name: ClassVar[str] = 'random'

    def choose(self, candidates: Sequence[Upstream], rng: Random) -> Upstream:
        """Choose a candidate at random."""
        return rng.choice(candidates)
