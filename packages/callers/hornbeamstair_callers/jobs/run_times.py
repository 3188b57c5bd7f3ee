"""Expected run times of tasks."""

from abc import ABC, abstractmethod
from typing import ClassVar

from attrs import define

from hornbeamstair_core.ids import QueueName
from hornbeamstair_upstreams.work.messages import TaskNeeds

__all__ = ('DeclaredRunTimes', 'RunTimes')


class RunTimes(ABC):
    """Source of the expected run times, which may learn from ended runs."""

    name: ClassVar[str]

    @abstractmethod
    def get_seconds(self, queue: QueueName, needs: TaskNeeds) -> float:
        """Get the expected run time of a task on a sound worker."""

    @abstractmethod
    def record(
        self,
        queue: QueueName,
        phase_id: str,
        needs: TaskNeeds,
        seconds: float,
    ) -> None:
        """Learn the mean duration of the runs of a phase that are done.

        A later call for the same phase replaces the earlier one.
        """


@define(eq=False)
class DeclaredRunTimes(RunTimes):
    """Trusts the estimates that callers declare."""

    name: ClassVar[str] = 'declared'

    def get_seconds(self, queue: QueueName, needs: TaskNeeds) -> float:
        """Get the declared estimate."""
        return needs.estimate_seconds

    def record(
        self,
        queue: QueueName,
        phase_id: str,
        needs: TaskNeeds,
        seconds: float,
    ) -> None:
        """Learn nothing."""
