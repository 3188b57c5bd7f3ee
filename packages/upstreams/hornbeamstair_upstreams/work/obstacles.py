"""Reasons why no new work may be placed on a worker."""

from enum import Enum

__all__ = ('Obstacle',)


class Obstacle(Enum):
    """Reason why no new work may be placed on a worker."""

    # The worker leaves or has withdrawn.
    ending = 'ending'
    # The incarnation has not announced itself yet.
    unannounced = 'unannounced'
    # The host of the worker may go down or leave the pool.
    reserved = 'reserved'
    # The worker has seen a higher fencing token.
    fenced = 'fenced'
    # The worker has an orphaned run, which is being stopped.
    occupied = 'occupied'
    # The worker has not answered a poll, or not recently.
    unresponsive = 'unresponsive'
    # Runs fail or do not start on the worker.
    quarantined = 'quarantined'
