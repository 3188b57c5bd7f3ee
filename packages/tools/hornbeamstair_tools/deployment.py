"""Several daemons on loopback, in different zones."""

from asyncio import gather
from pathlib import Path
from typing import Any, Final

from attrs import define, field, frozen

from hornbeamstair_tools.ports import get_free_port
from hornbeamstair_tools.processes import DaemonProcess

__all__ = ('Deployment', 'ProcessPlan')

_SHARED_KEY: Final = 'loopback-shared-key'


@frozen
class ProcessPlan:
    """Name, zone and voting role of a process to start."""

    process: str
    zone: str
    is_voter: bool


@define(eq=False)
class Deployment:
    """Daemons whose settings list each other as peers."""

    folder: Path
    plans: tuple[ProcessPlan, ...]
    daemons: dict[str, DaemonProcess] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create a daemon for each plan, with the addresses of all."""
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
            plan.process: self._create_daemon(plan, processes)
            for plan in self.plans
        }

    async def start(self) -> None:
        """Start all daemons."""
        await gather(*(daemon.start() for daemon in self.daemons.values()))

    async def kill(self) -> None:
        """Kill all daemons."""
        await gather(*(daemon.kill() for daemon in self.daemons.values()))

    def get_announce_urls(self, zone: str) -> list[str]:
        """Return the URLs to which the upstreams of a zone announce."""
        return [
            daemon.upstreams_url
            for daemon in self.daemons.values()
            if daemon.zone == zone
        ]

    def _create_daemon(
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
