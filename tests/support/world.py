"""State of one scenario: its event loop, folder, daemons and stand-ins."""

from asyncio import Runner, gather
from collections.abc import Awaitable, Callable, Coroutine
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

ReturnValue = TypeVar('ReturnValue')


def _create_folder() -> 'TemporaryDirectory[str]':
    return TemporaryDirectory(prefix='hornbeamstair-')


@define(eq=False)
class World:
    """State that the steps of a scenario share."""

    runner: Runner = field(factory=Runner)
    temporary_folder: 'TemporaryDirectory[str]' = field(factory=_create_folder)
    daemon: DaemonProcess | None = None
    deployment: Deployment | None = None
    upstreams: dict[str, StandInUpstream] = field(factory=dict)
    command: CommandResult | None = None
    responses: list[CallResponse] = field(factory=list)
    step_values: dict[str, Any] = field(factory=dict)
    # Started by steps; stopped at the end of the scenario.
    stops: list[Callable[[], Awaitable[None]]] = field(factory=list)

    @property
    def folder(self) -> Path:
        """Temporary folder of the scenario."""
        return Path(self.temporary_folder.name)

    def run(self, coroutine: Coroutine[Any, Any, ReturnValue]) -> ReturnValue:
        """Run a coroutine on the event loop of the scenario."""
        return self.runner.run(coroutine)

    def start_daemon(self, **settings: Any) -> DaemonProcess:
        """Start the daemon of the scenario with additional settings."""
        self.daemon = DaemonProcess(self.folder / 'daemon', settings=settings)
        self.run(self.daemon.start())
        return self.daemon

    def get_daemon(self) -> DaemonProcess:
        """Return the daemon; raise AssertionError if none was started."""
        assert self.daemon is not None
        return self.daemon

    def run_client(self, *arguments: str) -> CommandResult:
        """Run the operators' command line against the daemon."""
        self.command = self.run(self.get_daemon().run_client(*arguments))
        return self.command

    def add_upstream(self, name: str, service: str, **options: Any) -> None:
        """Start a stand-in upstream that announces itself to the daemon."""
        upstream = StandInUpstream(
            name,
            service,
            [self.get_daemon().upstreams_url],
            **options,
        )
        self.upstreams[name] = upstream
        self.run(upstream.start())

    def call(self, path: str, customer: str, **options: Any) -> CallResponse:
        """Send one call to the daemon."""
        return self.call_many([path], customer, **options)[0]

    def call_many(
        self,
        paths: list[str],
        customer: str,
        **options: Any,
    ) -> list[CallResponse]:
        """Send calls to the daemon at once."""
        self.responses = self.run(self._call_all(paths, customer, options))
        return self.responses

    async def renew_leases(self) -> None:
        """Renew the leases that ran while the loop stood between steps."""
        for upstream in self.upstreams.values():
            await upstream.renew()

    def close(self) -> None:
        """Stop everything that the scenario started and remove its folder."""
        for stop in self.stops:
            self.run(_await(stop))
        for upstream in self.upstreams.values():
            self.run(upstream.stop())
        if self.daemon is not None:
            self.run(self.daemon.kill())
        if self.deployment is not None:
            self.run(self.deployment.kill())
        self.runner.close()
        self.temporary_folder.cleanup()

    async def _call_all(
        self,
        paths: list[str],
        customer: str,
        options: dict[str, Any],
    ) -> list[CallResponse]:
        await self.renew_leases()
        url = self.get_daemon().callers_url
        async with HTTPClient() as client:
            return await gather(
                *(
                    call(client, f'{url}{path}', customer, **options)
                    for path in paths
                ),
            )


async def _await(stop: Callable[[], Awaitable[None]]) -> None:
    await stop()
