"""Policy that chooses the upstream with the smallest share of busy slots."""

from collections.abc import Sequence
from random import Random
from typing import ClassVar

from hornbeamstair_upstreams.choosers.base import UpstreamChooser
from hornbeamstair_upstreams.lifecycle import Upstream

__all__ = ('LeastLoadedChooser',)


class LeastLoadedChooser(UpstreamChooser):
    """Compares all candidates by their share of busy slots."""

    name: ClassVar[str] = 'least_loaded'

    def choose(self, candidates: Sequence[Upstream], rng: Random) -> Upstream:
        """Choose the candidate with the smallest share of busy slots."""
        return min(
            candidates,
            key=lambda member: member.in_flight / member.announcement.slots,
        )
