"""Handling of wave requests on the leader."""

from collections.abc import Callable
from typing import ClassVar

from attrs import define
from expression import Error, Ok, Result

from hornbeamstair_core.committing import Committer
from hornbeamstair_core.events import log_event
from hornbeamstair_core.failures import Failure, InvalidFieldFailure
from hornbeamstair_core.moments import Moment
from hornbeamstair_core.requests import (
    DoneReply,
    Reply,
    Request,
    RequestHandler,
)
from hornbeamstair_fleet.events import WaveDeclaredEvent
from hornbeamstair_fleet.failures import WaveUnknownFailure
from hornbeamstair_fleet.waves.messages import Wave, WaveDeclared
from hornbeamstair_fleet.waves.requests import (
    DeclareWave,
    ShowWave,
    WaveReply,
)
from hornbeamstair_fleet.waves.table import WaveTable

__all__ = ('WaveRequestHandler',)


@define(eq=False)
class WaveRequestHandler(RequestHandler):
    """Handler of wave requests from operators."""

    requests: ClassVar[tuple[type[Request], ...]] = (DeclareWave, ShowWave)
    replies: ClassVar[tuple[type[Reply], ...]] = (WaveReply,)

    table: WaveTable
    committer: Committer
    get_moment: Callable[[], Moment]

    async def handle(self, request: Request) -> Result[Reply, Failure]:
        """Handle a request."""
        match request:
            case DeclareWave():
                return await self._declare(request)
            case ShowWave(number):
                return self._show(number)
        raise TypeError(request)

    async def _declare(self, request: DeclareWave) -> Result[Reply, Failure]:
        if request.max_down < 1:
            return Error(InvalidFieldFailure('max_down', 'must be positive'))
        if request.number in self.table.waves:
            return Ok(DoneReply())
        now = self.get_moment().wall
        wave = Wave(
            request.number,
            request.hosts,
            now,
            now + request.deadline_seconds,
            request.max_down,
        )
        committed = await self.committer.commit((WaveDeclared(wave),))
        if committed.is_error():
            return Error(committed.error)
        log_event(
            WaveDeclaredEvent(
                wave.number,
                len(wave.hosts),
                wave.max_down,
                request.deadline_seconds,
            ),
        )
        return Ok(DoneReply())

    def _show(self, number: int) -> Result[Reply, Failure]:
        progress = self.table.waves.get(number)
        if progress is None:
            return Error(WaveUnknownFailure(number))
        return Ok(WaveReply(number, progress.is_complete))
