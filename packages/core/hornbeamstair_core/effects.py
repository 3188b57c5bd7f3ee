"""Base class of the effects that decisions return."""

from abc import ABC

from attrs import frozen

__all__ = ('Effect',)


@frozen
class Effect(ABC):
    """Action that an endpoint carries out for a decision."""
