"""State machine of an upstream."""

from enum import Enum
from typing import Final

from attrs import define, field
from transitions import Machine

from hornbeamstair_upstreams.health import UpstreamHealth
from hornbeamstair_upstreams.messages import Announcement

__all__ = ('Upstream', 'UpstreamTrigger', 'change_state')

_SERVING: Final = 'serving'
_EJECTED: Final = 'ejected'
_LEAVING: Final = 'leaving'
_GONE: Final = 'gone'


class UpstreamTrigger(Enum):
    """Trigger of a state transition of an upstream."""

    eject = 'eject'
    reinstate = 'reinstate'
    leave = 'leave'
    lapse = 'lapse'


@define(eq=False)
class Upstream:
    """Registered upstream with its lease, load and health."""

    announcement: Announcement
    lease_until: float
    in_flight: int = 0
    health: UpstreamHealth = field(factory=UpstreamHealth)
    state: str = _SERVING

    @property
    def is_serving(self) -> bool:
        """Return whether the upstream may receive new calls."""
        return self.state == _SERVING

    @property
    def is_ejected(self) -> bool:
        """Return whether the upstream is ejected for its failures."""
        return self.state == _EJECTED

    @property
    def is_leaving(self) -> bool:
        """Return whether the upstream announced its departure."""
        return self.state == _LEAVING

    @property
    def free_slots(self) -> int:
        """Count the further calls that the upstream can take now."""
        announced = self.announcement
        limit = min(announced.slots, announced.connections)
        return limit - self.in_flight


# Shared by all upstreams: the machine reads and writes only their `state`.
_machine: Final = Machine(
    model=None,
    states=[_SERVING, _EJECTED, _LEAVING, _GONE],
    initial=_SERVING,
    auto_transitions=False,
    transitions=[
        [UpstreamTrigger.eject.value, _SERVING, _EJECTED],
        [UpstreamTrigger.reinstate.value, _EJECTED, _SERVING],
        [UpstreamTrigger.leave.value, [_SERVING, _EJECTED], _LEAVING],
        [UpstreamTrigger.lapse.value, '*', _GONE],
    ],
)


def change_state(upstream: Upstream, trigger: UpstreamTrigger) -> None:
    """Apply the transition of a trigger to an upstream."""
    _machine.events[trigger.value].trigger(upstream)
