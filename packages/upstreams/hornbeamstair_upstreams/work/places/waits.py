"""Waits of phases for a better place."""

from collections import Counter, OrderedDict
from collections.abc import Callable, Collection, Iterable
from math import isinf
from typing import Final

from attrs import define, field, frozen

from hornbeamstair_core.ids import RackName
from hornbeamstair_upstreams.work.messages import TaskNeeds
from hornbeamstair_upstreams.work.places.forecast import (
    RackForecast,
    make_rack_forecast,
)
from hornbeamstair_upstreams.work.places.policies import (
    NoWait,
    PlaceOutlook,
    PlaceWaitPolicy,
)
from hornbeamstair_upstreams.work.runs import Run
from hornbeamstair_upstreams.work.session import WorkerSession
from hornbeamstair_upstreams.work.stats import PlacementStats

__all__ = ('PlaceTerms', 'PlaceWaits', 'PlaceWish', 'RackWaits')

# Phases that wait in one pass over a service. A pass examines some tens of
# unplaced jobs: those that wait by choice are few among them.
_MAX_WAITING_PHASES: Final = 16
# A decision to wait holds for this time. It is shorter than the interval of the
# scheduler's ticks, and longer than that of passes after events.
_DECISION_SECONDS: Final = 0.04
# Phases that have waited and are remembered, so that none waits twice.
_MAX_REMEMBERED_PHASES: Final = 4096


@frozen
class PlaceTerms:
    """What a better place is worth, and how to weigh it."""

    # A run takes this many times as long away from its data or its group.
    factor: float = 1
    policy: PlaceWaitPolicy = field(factory=NoWait)


@define(eq=False)
class PlaceWish:
    """Preference of the tasks of one phase in one pass."""

    phase_id: str
    # Expected run time in the better place.
    run_seconds: float
    # Time left until the objective after a run that starts there now.
    slack_seconds: float
    # The tasks start as a whole.
    is_gang: bool = False
    # Tasks that still have to start together with the next one.
    member_count: int = 1
    # The gang starts elsewhere in this pass.
    is_settled: bool = False
    # Whether the last task was told to wait.
    is_waiting: bool = False


@define(eq=False)
class PhaseWait:
    """Wait of a phase, in monotonic seconds."""

    begun_at: float
    # Time at which a task of the phase last got the better place.
    placed_at: float
    # Time at which it was last decided that its tasks wait.
    decided_at: float = 0

    def is_decided(self, now: float) -> bool:
        """Return whether an earlier pass has decided for the phase."""
        return 0 < now - self.decided_at < _DECISION_SECONDS


@define(eq=False)
class PlaceWaits:
    """Waits of all phases; a new leader begins without any.

    Their state is no more than the time since which each phase has waited.
    """

    terms: PlaceTerms
    # Expected time of a run in its better place.
    get_run_seconds: Callable[[Run], float]
    by_phase: OrderedDict[str, PhaseWait] = field(factory=OrderedDict)

    def get_seconds_on(self, session: WorkerSession, run: Run) -> float:
        """Get the expected time of a run on its worker."""
        data_rack = run.needs.data_rack
        is_near = not data_rack or data_rack == session.announced.rack
        seconds = self.get_run_seconds(run)
        return seconds if is_near else seconds * self.terms.factor

    def remember(self, phase_id: str, wait: PhaseWait) -> bool:
        """Remember the wait of a phase; return whether it has just begun."""
        is_new = phase_id not in self.by_phase
        self.by_phase[phase_id] = wait
        if len(self.by_phase) > _MAX_REMEMBERED_PHASES:
            self.by_phase.popitem(last=False)
        return is_new


@define(eq=False)
class RackWaits:
    """Waits for the racks of one service in one placement pass."""

    waits: PlaceWaits
    now: float
    stats: PlacementStats
    forecasts: dict[RackName, RackForecast] = field(factory=dict)
    waiting_phases: set[str] = field(factory=set)

    def should_wait(
        self,
        wish: PlaceWish,
        needs: TaskNeeds,
        rack: RackName,
        sessions: Iterable[WorkerSession],
    ) -> bool:
        """Decide whether a task that fits elsewhere waits for a rack."""
        known = self.waits.by_phase.get(wish.phase_id)
        if known is not None and known.is_decided(self.now):
            self.waiting_phases.add(wish.phase_id)
            wish.is_waiting = True
            return True
        terms = self.waits.terms
        gain_seconds = wish.run_seconds * (terms.factor - 1)
        horizon = terms.policy.get_horizon(gain_seconds)
        wish.is_waiting = False
        if horizon <= 0 or not self._may_wait(wish, needs):
            return False
        forecast = self._get_forecast(rack, sessions)
        claim = forecast.claim(needs, wish.member_count, horizon)
        wait = known or PhaseWait(self.now, self.now)
        outlook = PlaceOutlook(
            wish.run_seconds,
            gain_seconds,
            claim.seconds,
            self.now - wait.begun_at,
            self.now - wait.placed_at,
            wish.slack_seconds,
        )
        # Without a usable worker on the rack, every wait is vain.
        wish.is_waiting = bool(forecast.rooms) and terms.policy.should_wait(
            outlook
        )
        if wish.is_waiting:
            self._begin(wish.phase_id, wait)
        else:
            forecast.release(claim)
            wish.is_settled = wish.is_gang
            if known is not None:
                self.stats.count_wait_without_place(
                    self.now - wait.begun_at, is_vain=isinf(claim.seconds)
                )
        return wish.is_waiting

    def note_placed(
        self,
        phase_id: str,
        needs: TaskNeeds,
        sessions: Collection[WorkerSession],
    ) -> None:
        """Note where the tasks of a phase that prefers a rack are placed."""
        racks = Counter(session.announced.rack for session in sessions)
        rack = needs.data_rack or max(racks, key=racks.__getitem__)
        near_count = racks[RackName(rack)]
        self.stats.near += near_count
        self.stats.away += len(sessions) - near_count
        wait = self.waits.by_phase.get(phase_id)
        if wait is not None and near_count:
            wait.placed_at = self.now
            self.stats.waits_rewarded += near_count
            self.stats.waited_seconds += (self.now - wait.begun_at) * near_count

    def _may_wait(self, wish: PlaceWish, needs: TaskNeeds) -> bool:
        if wish.is_settled or needs.lasts or needs.fills or needs.spread_limit:
            return False
        is_known = wish.phase_id in self.waiting_phases
        return is_known or len(self.waiting_phases) < _MAX_WAITING_PHASES

    def _get_forecast(
        self,
        rack: RackName,
        sessions: Iterable[WorkerSession],
    ) -> RackForecast:
        forecast = self.forecasts.get(rack)
        if forecast is None:
            forecast = make_rack_forecast(
                sessions, self.waits.get_seconds_on, self.now
            )
            self.forecasts[rack] = forecast
        return forecast

    def _begin(self, phase_id: str, wait: PhaseWait) -> None:
        self.waiting_phases.add(phase_id)
        wait.decided_at = self.now
        self.stats.waits_begun += self.waits.remember(phase_id, wait)
