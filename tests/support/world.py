"""State of one scenario: its loop, folder, daemon and stand-ins."""

from asyncio import Runner, gather
from collections.abc import Coroutine
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, TypeVar

from aiosonic import HTTPClient
from attrs import define, field

from hornbeamstair_tools.caller import CallResponse, call
from hornbeamstair_tools.deployment import Deployment
from hornbeamstair_tools.processes import CommandResult, DaemonProcess
from hornbeamstair_tools.stand_in_upstream import StandInUpstream

__all__ = ('World',)

Outcome = TypeVar('Outcome')


def _make_folder() -> 'TemporaryDirectory[str]':
    return TemporaryDirectory(prefix='hornbeamstair-')


@define(eq=False)
class World:
    """What the steps of a scenario share."""

    runner: Runner = field(factory=Runner)
    temporary: 'TemporaryDirectory[str]' = field(factory=_make_folder)
    daemon: DaemonProcess | None = None
    deployment: Deployment | None = None
    upstreams: dict[str, StandInUpstream] = field(factory=dict)
    command: CommandResult | None = None
    answers: list[CallResponse] = field(factory=list)
    notes: dict[str, Any] = field(factory=dict)

    @property
    def folder(self) -> Path:
        """Folder of the scenario."""
        return Path(self.temporary.name)

    def run(self, work: Coroutine[Any, Any, Outcome]) -> Outcome:
        """Run a coroutine on the loop of the scenario."""
        return self.runner.run(work)

    def start_daemon(self, **settings: Any) -> DaemonProcess:
        """Start a daemon with its own folder."""
        self.daemon = DaemonProcess(self.folder / 'daemon', settings=settings)
        self.run(self.daemon.start())
        return self.daemon

    def get_daemon(self) -> DaemonProcess:
        """Get the daemon; AssertionError if none was started."""
        assert self.daemon is not None
        return self.daemon

    def run_client(self, *words: str) -> CommandResult:
        """Run the command line against the daemon."""
        self.command = self.run(self.get_daemon().run_client(*words))
        return self.command

    def add_upstream(self, name: str, service: str, **options: Any) -> None:
        """Start a stand-in upstream."""
        upstream = StandInUpstream(
            name,
            service,
            [self.get_daemon().upstreams_url],
            **options,
        )
        self.upstreams[name] = upstream
        self.run(upstream.start())

    def call(self, path: str, customer: str, **options: Any) -> CallResponse:
        """Send one call through the daemon."""
        return self.call_many([path], customer, **options)[0]

    def call_many(
        self,
        paths: list[str],
        customer: str,
        **options: Any,
    ) -> list[CallResponse]:
        """Send calls at once through the daemon."""
        self.answers = self.run(self._call_all(paths, customer, options))
        return self.answers

    def close(self) -> None:
        """End everything that the scenario started."""
        for upstream in self.upstreams.values():
            self.run(upstream.stop())
        if self.daemon is not None:
            self.run(self.daemon.kill())
        if self.deployment is not None:
            self.run(self.deployment.kill())
        self.runner.close()
        self.temporary.cleanup()

    async def _call_all(
        self,
        paths: list[str],
        customer: str,
        options: dict[str, Any],
    ) -> list[CallResponse]:
        url = self.get_daemon().callers_url
        async with HTTPClient() as client:
            return await gather(
                *(
                    call(client, f'{url}{path}', customer, **options)
                    for path in paths
                ),
            )
