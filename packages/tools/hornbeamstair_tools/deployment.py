"""Deployment of several daemons in zones on loopback."""

from asyncio import gather
from pathlib import Path
from typing import Any, Final

from attrs import define, field, frozen

from hornbeamstair_tools.processes import DaemonProcess, get_free_port

__all__ = ('Deployment', 'ProcessPlan')

_SHARED_KEY: Final = 'loopback-shared-key'


@frozen
class ProcessPlan:
    """Process, its zone and whether it votes."""

    process: str
    zone: str
    is_voter: bool


@define(eq=False)
class Deployment:
    """Daemons that know each other."""

    folder: Path
    plans: tuple[ProcessPlan, ...]
    daemons: dict[str, DaemonProcess] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Write down every process and its address."""
        processes = [
            {
                'process': plan.process,
                'zone': plan.zone,
                'is_voter': plan.is_voter,
                'address': '127.0.0.1',
                'port': get_free_port(),
            }
            for plan in self.plans
        ]
        self.daemons = {
            plan.process: self._make_daemon(plan, processes)
            for plan in self.plans
        }

    async def start(self) -> None:
        """Start every daemon."""
        await gather(*(daemon.start() for daemon in self.daemons.values()))

    async def kill(self) -> None:
        """Kill every daemon."""
        await gather(*(daemon.kill() for daemon in self.daemons.values()))

    def get_announce_urls(self, zone: str) -> list[str]:
        """Get the addresses for announcements of a zone's upstreams."""
        return [
            daemon.upstreams_url
            for daemon in self.daemons.values()
            if daemon.zone == zone
        ]

    def _make_daemon(
        self,
        plan: ProcessPlan,
        processes: list[dict[str, Any]],
    ) -> DaemonProcess:
        return DaemonProcess(
            self.folder / plan.process,
            process_name=plan.process,
            zone=plan.zone,
            bootstrap=plan.is_voter,
            settings={
                'peers': {'shared_key': _SHARED_KEY, 'processes': processes},
            },
        )
