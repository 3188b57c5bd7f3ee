"""State machine that applies log entries to the control state."""

from collections.abc import Callable

from attrs import define, field

from hornbeamstair_operators.codec import (
    decode_change_request,
    decode_control_state,
    encode_control_state,
)
from hornbeamstair_operators.messages import ChangeAnswer
from hornbeamstair_operators.state import ControlState
from hornbeamstair_replicas.state_machine import StateMachine

__all__ = ('ControlStateMachine',)


@define
class ControlStateMachine(StateMachine):
    """State machine of the replicated control log.

    The observers are called after each change and after a restore.
    """

    state: ControlState = field(factory=ControlState)
    observers: list[Callable[[ControlState], None]] = field(factory=list)

    def apply(self, index: int, payload: bytes) -> ChangeAnswer:
        """Apply a committed change."""
        answer = self.state.apply(decode_change_request(payload))
        self._notify_observers()
        return answer

    def get_snapshot(self) -> bytes:
        """Get the encoded state for a snapshot."""
        return encode_control_state(self.state)

    def restore(self, state: bytes) -> None:
        """Replace the state by that of a snapshot."""
        self.state = decode_control_state(state)
        self._notify_observers()

    def _notify_observers(self) -> None:
        for observer in self.observers:
            observer(self.state)
