"""Forecast of the room on a rack."""

from collections.abc import Callable, Iterable
from math import inf
from typing import Final

from attrs import define, field

from hornbeamstair_upstreams.work.messages import Resources, TaskNeeds
from hornbeamstair_upstreams.work.runs import Run
from hornbeamstair_upstreams.work.session import (
    WorkerSession,
    get_used_resources,
)

__all__ = ('RackForecast', 'make_rack_forecast')

# A run that is longer than expected goes on for at least this share of its age.
_OVERDUE_SHARE: Final = 0.25


@define(eq=False)
class WorkerRoom:
    """Expected free resources of a worker."""

    session: WorkerSession
    free: Resources

    def take(self, used: Resources, needs: TaskNeeds) -> bool:
        """Take the resources of a task, if they are free."""
        fits = self.free.fits(used) and self.session.has_label(needs)
        if fits:
            self.free = self.free.minus(used)
        return fits


@define(eq=False)
class RackForecast:
    """Expected room on a rack, claimed in turn by the tasks that wait for it.

    The claims are served in their order, so that each sees what those before
    it leave. Workers that accept no work count only once they do again.
    """

    rooms: list[WorkerRoom]
    # Seconds until runs end, with their room and resources; the next is last.
    ends: list[tuple[float, int, Resources]]
    # Seconds until the room that is counted is free.
    reached: float = field(default=0, init=False)

    def claim(self, needs: TaskNeeds, count: int, horizon: float) -> 'Claim':
        """Claim room for tasks that start together, as far as there is any."""
        claim = Claim(get_used_resources(needs))
        while len(claim.rooms) < count:
            room = self._find_room(claim.used, needs, horizon)
            if room is None:
                claim.seconds = inf
                break
            claim.rooms.append(room)
            claim.seconds = self.reached
        return claim

    def release(self, claim: 'Claim') -> None:
        """Release the room of tasks that do not wait for it."""
        for room in claim.rooms:
            room.free = room.free.plus(claim.used)

    def _find_room(
        self,
        used: Resources,
        needs: TaskNeeds,
        horizon: float,
    ) -> 'WorkerRoom | None':
        """Take the room of one task; None if there is none in time."""
        for room in self.rooms:
            if room.take(used, needs):
                return room
        while self.ends and self.ends[-1][0] <= horizon:
            seconds, number, freed = self.ends.pop()
            self.reached = seconds
            freed_room = self.rooms[number]
            freed_room.free = freed_room.free.plus(freed)
            if freed_room.take(used, needs):
                return freed_room
        return None


@define(eq=False)
class Claim:
    """Room claimed for tasks, and the time until all of it is free."""

    used: Resources
    rooms: list[WorkerRoom] = field(factory=list)
    seconds: float = 0


def make_rack_forecast(
    sessions: Iterable[WorkerSession],
    get_run_seconds: Callable[[WorkerSession, Run], float],
    now: float,
) -> RackForecast:
    """Forecast the room of the usable workers on a rack."""
    usable = [session for session in sessions if session.may_start(now)]
    rooms = [
        WorkerRoom(session, session.get_free_resources()) for session in usable
    ]
    ends = [
        (
            _get_remaining_seconds(get_run_seconds(session, run), run, now),
            number,
            get_used_resources(run.needs),
        )
        for number, session in enumerate(usable)
        for run in session.runs.values()
        if not run.needs.lasts
    ]
    ends.sort(key=lambda end: (-end[0], end[1]))
    return RackForecast(rooms, ends)


def _get_remaining_seconds(expected: float, run: Run, now: float) -> float:
    age = now - run.started_at
    return max(expected - age, age * _OVERDUE_SHARE)
