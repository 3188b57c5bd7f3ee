"""Base class of the effects that decisions return."""

from abc import ABC

from attrs import frozen

__all__ = ('Effect',)


@frozen
class Effect(ABC):
    """I/O action that a decision requests and an endpoint executes."""
