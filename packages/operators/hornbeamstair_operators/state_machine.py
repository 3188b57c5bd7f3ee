"""Control state as the state machine of a replicated log."""

from collections.abc import Callable

from attrs import define, field

from hornbeamstair_operators.codec import (
    read_change_request,
    read_control_state,
    write_control_state,
)
from hornbeamstair_operators.messages import ChangeAnswer
from hornbeamstair_operators.state import ControlState
from hornbeamstair_replicas.state_machine import StateMachine

__all__ = ('ControlStateMachine',)


@define
class ControlStateMachine(StateMachine):
    """Control state that a replicated log changes."""

    state: ControlState = field(factory=ControlState)
    listeners: list[Callable[[ControlState], None]] = field(factory=list)

    def apply(self, index: int, payload: bytes) -> ChangeAnswer:
        """Apply a committed change."""
        answer = self.state.apply(read_change_request(payload))
        self._notify()
        return answer

    def get_snapshot(self) -> bytes:
        """Get the whole state as bytes."""
        return write_control_state(self.state)

    def restore(self, state: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        self.state = read_control_state(state)
        self._notify()

    def _notify(self) -> None:
        for listener in self.listeners:
            listener(self.state)
