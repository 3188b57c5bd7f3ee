"""Base class of the effects that decision logic returns."""

from abc import ABC

from attrs import frozen

__all__ = ('Effect',)


@frozen
class Effect(ABC):
    """I/O action that decision logic requests and an endpoint executes."""
