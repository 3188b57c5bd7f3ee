"""List of the machines, read when it is asked for and has grown old."""

from collections.abc import Callable

from attrs import define, field

from hornbeamstair_core.events import log_event
from hornbeamstair_core.ids import MachineId
from hornbeamstair_fleet.events import MachineListEvent
from hornbeamstair_fleet.machines import MachinesClient
from hornbeamstair_fleet.waves.messages import Machine

__all__ = ('MachineList',)


@define(eq=False)
class MachineList:
    """Machines as the platform listed them last."""

    client: MachinesClient
    get_time: Callable[[], float]
    machines: dict[MachineId, Machine] = field(factory=dict)
    listed_at: float = -1000
    # Time of the last list that held a machine.
    seen_at: dict[MachineId, float] = field(factory=dict)
    is_known: bool = True
    # Time of the last order about a machine.
    ordered_at: dict[MachineId, float] = field(factory=dict)

    async def refresh(self, age_seconds: float) -> bool:
        """Read the list if it is older; tell whether there is one."""
        began = self.get_time()
        if began - self.listed_at <= age_seconds:
            return bool(self.machines)
        listed = await self.client.list_machines()
        if (listed is not None) != self.is_known:
            self.is_known = listed is not None
            log_event(MachineListEvent(self.is_known, len(listed or ())))
        if listed is not None:
            self.machines = {found.machine: found for found in listed}
            self.listed_at = began
            self.seen_at.update(dict.fromkeys(self.machines, began))
        return bool(self.machines)

    def note_order(self, machine: MachineId) -> None:
        """Note that a machine was just ordered about."""
        self.ordered_at[machine] = self.get_time()

    def is_newer_than_order(self, machine: MachineId) -> bool:
        """Tell whether the list was read after the last order."""
        return self.listed_at > self.ordered_at.get(machine, -1000)

    def get_absence(self, machine: MachineId) -> float:
        """Get the seconds for which the lists have missed a machine."""
        seen_at = self.seen_at.setdefault(machine, self.get_time())
        return max(self.listed_at - seen_at, 0)

    def get_age_of_order(self, machine: MachineId) -> float:
        """Get the seconds from the last order to the list."""
        ordered_at = self.ordered_at.setdefault(machine, self.get_time())
        return self.listed_at - ordered_at
