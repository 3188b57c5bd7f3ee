"""Base class of the load-balancing policies."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from random import Random
from typing import ClassVar

from hornbeamstair_upstreams.lifecycle import Upstream

__all__ = ('UpstreamChooser',)


class UpstreamChooser(ABC):
    """Load-balancing policy over upstreams with free slots."""

    name: ClassVar[str]

    @abstractmethod
    def choose(self, candidates: Sequence[Upstream], rng: Random) -> Upstream:
        """Choose one of the candidates, which must not be empty."""
