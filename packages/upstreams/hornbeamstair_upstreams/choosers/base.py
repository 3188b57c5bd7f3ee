"""Base class of the ways to choose an upstream."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from random import Random
from typing import ClassVar

from hornbeamstair_upstreams.lifecycle import Upstream

__all__ = ('UpstreamChooser',)


class UpstreamChooser(ABC):
    """Way to choose one of several upstreams with free slots."""

    name: ClassVar[str]

    @abstractmethod
    def choose(self, candidates: Sequence[Upstream], rng: Random) -> Upstream:
        """Choose one of the candidates, of which there is at least one."""
