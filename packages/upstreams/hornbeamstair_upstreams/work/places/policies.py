"""Policies that decide whether a task waits for a better place."""

from abc import ABC, abstractmethod
from typing import ClassVar, Final

from attrs import frozen

__all__ = (
    'ExpectedGain',
    'FixedWait',
    'LevelWait',
    'NoWait',
    'PlaceOutlook',
    'PlaceWaitPolicy',
)

# A start takes about this time after its placement: shorter gains are none.
_MIN_GAIN_SECONDS: Final = 0.1
# Total wait of a phase, in gains of one run; docs/design/place-waits.md.
_MAX_WAIT_GAINS: Final = 2


@frozen
class PlaceOutlook:
    """What a task that could start elsewhere at once may expect of a wait."""

    # Expected run time in the better place.
    run_seconds: float
    # Time by which the run is longer elsewhere.
    gain_seconds: float
    # Expected time until there is room for the task; infinite if there is none.
    expected_seconds: float
    # Time for which the phase of the task has waited.
    waited_seconds: float
    # Time since the phase last got a better place, or since its wait began.
    idle_seconds: float
    # Time that is left until the objective after a run that starts here now.
    slack_seconds: float


class PlaceWaitPolicy(ABC):
    """Policy that weighs a wait for a better place against a start elsewhere.

    A task is asked about again in each placement pass, and may start elsewhere
    whenever the policy says so.
    """

    name: ClassVar[str]

    @abstractmethod
    def should_wait(self, outlook: PlaceOutlook) -> bool:
        """Return whether a task should wait on."""

    @abstractmethod
    def get_horizon(self, gain_seconds: float) -> float:
        """Get the time beyond which an expected wait need not be known."""


@frozen
class NoWait(PlaceWaitPolicy):
    """Starts each task at once wherever there is room."""

    name: ClassVar[str] = 'none'

    def should_wait(self, outlook: PlaceOutlook) -> bool:
        """Refuse to wait."""
        return False

    def get_horizon(self, gain_seconds: float) -> float:
        """Get no time."""
        return 0


@frozen
class FixedWait(PlaceWaitPolicy):
    """Waits equally long for each phase."""

    name: ClassVar[str] = 'fixed'

    seconds: float

    def should_wait(self, outlook: PlaceOutlook) -> bool:
        """Wait until the time is over."""
        return outlook.waited_seconds < self.seconds

    def get_horizon(self, gain_seconds: float) -> float:
        """Get the time of the wait."""
        return self.seconds


@frozen
class LevelWait(PlaceWaitPolicy):
    """Delay scheduling (Zaharia et al., EuroSys 2010) with one level.

    Each start in the better place begins the wait of its phase anew.
    """

    name: ClassVar[str] = 'level'

    seconds: float

    def should_wait(self, outlook: PlaceOutlook) -> bool:
        """Wait until no task of the phase has got a place for the time."""
        return outlook.idle_seconds < self.seconds

    def get_horizon(self, gain_seconds: float) -> float:
        """Get the time of the wait."""
        return self.seconds


@frozen
class ExpectedGain(PlaceWaitPolicy):
    """Waits while room is expected sooner than the run is longer elsewhere.

    A phase whose forecast was wrong gives up after twice the gain in all. No
    task waits beyond the time at which it could still meet its objective.
    """

    name: ClassVar[str] = 'gain'

    def should_wait(self, outlook: PlaceOutlook) -> bool:
        """Compare the expected wait with the gain."""
        gain_seconds = outlook.gain_seconds
        if gain_seconds < _MIN_GAIN_SECONDS:
            return False
        left_seconds = gain_seconds * _MAX_WAIT_GAINS - outlook.waited_seconds
        limit = min(gain_seconds, left_seconds)
        if outlook.slack_seconds >= 0:
            limit = min(limit, outlook.slack_seconds)
        return outlook.expected_seconds < limit

    def get_horizon(self, gain_seconds: float) -> float:
        """Get the gain."""
        return gain_seconds
