"""Front end for the metrics of a process."""

from typing import ClassVar

from attrs import define
from starlette.responses import Response
from starlette.types import ASGIApp, Receive, Scope, Send

from hornbeamstair_core.front_end import HttpFrontEnd
from hornbeamstair_core.metrics import Metrics

__all__ = ('MetricsFrontEnd',)


@define(eq=False)
class MetricsFrontEnd(HttpFrontEnd):
    """Serves metrics in the Prometheus text format."""

    name: ClassVar[str] = 'metrics'

    metrics: Metrics

    def get_app(self) -> ASGIApp:
        """Get the ASGI application that handles requests."""
        return self.answer

    async def answer(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Answer a request for any path with the metrics."""
        body = self.metrics.get_exposition()
        response = Response(body, media_type='text/plain; version=0.0.4')
        await response(scope, receive, send)
