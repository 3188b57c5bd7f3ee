"""HTTP interface to jobs, workers, hosts and the manifest."""

from collections.abc import Awaitable, Callable
from typing import Any, ClassVar, Final, TypeVar

from attrs import define
from cattrs import BaseValidationError
from expression import Error, Ok, Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp

from hornbeamstair_callers.jobs.listing import (
    ListHosts,
    ListJobs,
    ListWorkers,
)
from hornbeamstair_callers.jobs.requests import (
    CancelJob,
    QueueAddress,
    ShowJob,
    SubmitJob,
)
from hornbeamstair_core.codec import encode_failure, json_converter
from hornbeamstair_core.failures import Failure, UnreadablePayloadFailure
from hornbeamstair_core.front_end import HttpFrontEnd, read_body
from hornbeamstair_core.ids import JobId, WorkerId
from hornbeamstair_core.requests import Reply
from hornbeamstair_core.requests import Request as LeaderRequest
from hornbeamstair_core.units import MIB
from hornbeamstair_operators.manifest.messages import Manifest
from hornbeamstair_operators.manifest.requests import (
    PutManifest,
    ReadManifest,
)
from hornbeamstair_replicas.calls.endpoints.client import LeaderClient
from hornbeamstair_upstreams.work.messages import WorkerAnnouncement
from hornbeamstair_upstreams.work.requests import (
    AnnounceWorker,
    WithdrawWorker,
)

__all__ = ('SystemFrontEnd',)

_ANSWER_SECONDS: Final = 2.5
_MAX_BODY_BYTES: Final = 8 * MIB
_DECODE_ERRORS: Final = (
    BaseValidationError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)

Message = TypeVar('Message')
Reader = Callable[[Request], Awaitable[Result[LeaderRequest, Failure]]]


@define(eq=False)
class SystemFrontEnd(HttpFrontEnd):
    """HTTP front end whose JSON bodies have the fields of the messages."""

    name: ClassVar[str] = 'system_http'

    client: LeaderClient

    def get_app(self) -> ASGIApp:
        """Get the ASGI application."""
        return Starlette(
            routes=[
                self._route('/v1/jobs', 'GET', _list_jobs),
                self._route('/v1/jobs', 'POST', _submit),
                self._route('/v1/jobs/{job}', 'GET', _show),
                self._route('/v1/jobs/{job}', 'DELETE', _cancel),
                self._route('/v1/workers', 'GET', _list_workers),
                self._route('/v1/workers', 'POST', _announce),
                self._route('/v1/workers/{worker}', 'DELETE', _withdraw),
                self._route('/v1/hosts', 'GET', _list_hosts),
                self._route('/v1/manifest', 'GET', _read_manifest),
                self._route('/v1/manifest', 'PUT', _put_manifest),
            ],
        )

    def _route(self, path: str, method: str, read: Reader) -> Route:
        async def answer(request: Request) -> Response:  # noqa: WPS430
            return await self._answer(await read(request))

        return Route(path, answer, methods=[method])

    async def _answer(
        self,
        request: Result[LeaderRequest, Failure],
    ) -> Response:
        if request.is_error():
            outcome: Result[Reply, Failure] = Error(request.error)
        else:
            outcome = await self.client.ask(request.ok, _ANSWER_SECONDS)
        if outcome.is_error():
            return JSONResponse(
                encode_failure(outcome.error),
                outcome.error.http_status,
            )
        fields = json_converter.unstructure(outcome.ok)
        return JSONResponse({'reply': outcome.ok.kind, **fields})


async def _read(
    request: Request,
    message_class: type[Message],
) -> Result[Message, Failure]:
    body = await read_body(request, _MAX_BODY_BYTES)
    return body.bind(lambda content: _decode(content, message_class))


def _decode(body: bytes, message_class: Any) -> Result[Any, Failure]:
    try:
        return Ok(json_converter.loads(body, message_class))
    except _DECODE_ERRORS as error:
        return Error(UnreadablePayloadFailure(repr(error)))


def _get_queue_address(request: Request) -> QueueAddress:
    query = request.query_params
    return QueueAddress(query.get('host', ''), query.get('path', ''))


async def _list_jobs(request: Request) -> Result[LeaderRequest, Failure]:
    return Ok(ListJobs())


async def _list_workers(request: Request) -> Result[LeaderRequest, Failure]:
    return Ok(ListWorkers())


async def _list_hosts(request: Request) -> Result[LeaderRequest, Failure]:
    return Ok(ListHosts())


async def _submit(request: Request) -> Result[LeaderRequest, Failure]:
    return await _read(request, SubmitJob)


async def _show(request: Request) -> Result[LeaderRequest, Failure]:
    job = JobId(request.path_params['job'])
    return Ok(ShowJob(_get_queue_address(request), job))


async def _cancel(request: Request) -> Result[LeaderRequest, Failure]:
    job = JobId(request.path_params['job'])
    return Ok(CancelJob(_get_queue_address(request), job))


async def _announce(request: Request) -> Result[LeaderRequest, Failure]:
    announced = await _read(request, WorkerAnnouncement)
    return announced.map(AnnounceWorker)


async def _withdraw(request: Request) -> Result[LeaderRequest, Failure]:
    return Ok(WithdrawWorker(WorkerId(request.path_params['worker'])))


async def _read_manifest(request: Request) -> Result[LeaderRequest, Failure]:
    return Ok(ReadManifest())


async def _put_manifest(request: Request) -> Result[LeaderRequest, Failure]:
    manifest = await _read(request, Manifest)
    return manifest.map(PutManifest)
