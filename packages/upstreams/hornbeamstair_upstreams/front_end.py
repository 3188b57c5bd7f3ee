"""HTTP front end for announcements of upstreams, with JSON bodies."""

from collections.abc import Callable
from typing import ClassVar, Final

from attrs import define
from expression import Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from hornbeamstair_core.codec import encode_failure, json_converter
from hornbeamstair_core.events import log_event
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.front_end import HttpFrontEnd, read_body
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.units import KIB
from hornbeamstair_upstreams.codec import decode_announcement, decode_departure
from hornbeamstair_upstreams.directory import UpstreamDirectory
from hornbeamstair_upstreams.messages import Announcement, Departure

__all__ = ('UpstreamsHttpFrontEnd',)

_MAX_ANNOUNCEMENT_BYTES: Final = 4 * KIB


@define
class UpstreamsHttpFrontEnd(HttpFrontEnd):
    """HTTP front end of the upstream directory."""

    name: ClassVar[str] = 'upstreams_http'

    directory: UpstreamDirectory
    metrics: Metrics
    get_time: Callable[[], float]
    on_announced: Callable[[Announcement], None]

    def get_app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route('/v1/announcements', self.announce, methods=['POST']),
                Route('/v1/departures', self.depart, methods=['POST']),
            ],
        )

    async def announce(self, request: Request) -> Response:
        """Register an upstream or renew its lease."""
        body = await read_body(request, _MAX_ANNOUNCEMENT_BYTES)
        return self._write(body.bind(decode_announcement).bind(self._announce))

    async def depart(self, request: Request) -> Response:
        """Stop sending new calls to an upstream."""
        body = await read_body(request, _MAX_ANNOUNCEMENT_BYTES)
        return self._write(body.bind(decode_departure).map(self._depart))

    def _announce(self, announcement: Announcement) -> Result[object, Failure]:
        answer = self.directory.announce(announcement, self.get_time())
        self._log_events()
        if answer.is_ok():
            self.on_announced(announcement)
        return answer.map(json_converter.unstructure)

    def _depart(self, departure: Departure) -> object:
        self.directory.depart(departure, self.get_time())
        self._log_events()
        return {}

    def _log_events(self) -> None:
        for event in self.directory.drain_events():
            log_event(event)

    def _write(self, answer: Result[object, Failure]) -> Response:
        if answer.is_ok():
            return JSONResponse(answer.ok)
        failure = answer.error
        self.metrics.count_refusal(failure)
        return JSONResponse(encode_failure(failure), failure.http_status)
