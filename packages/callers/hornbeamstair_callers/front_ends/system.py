"""HTTP interface to jobs, workers, hosts and the manifest."""

from collections.abc import Awaitable, Callable
from typing import ClassVar, Final

from attrs import define, evolve
from expression import Error, Ok, Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp

from hornbeamstair_callers.front_ends.messages import (
    get_key_digest,
    get_queue_address,
    read_message,
)
from hornbeamstair_callers.jobs.listing import (
    ListHosts,
    ListJobs,
    ListWorkers,
)
from hornbeamstair_callers.jobs.requests import (
    CancelJob,
    ShowJob,
    SubmitJob,
)
from hornbeamstair_callers.workspaces.listing import ListWorkspaces
from hornbeamstair_core.codec import encode_failure, json_converter
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.front_end import HttpFrontEnd
from hornbeamstair_core.ids import JobId, WorkerId, WorkspaceName
from hornbeamstair_core.requests import Reply
from hornbeamstair_core.requests import Request as LeaderRequest
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
                self._route('/v1/workspaces', 'GET', _list_workspaces),
                self._route(
                    '/v1/workspaces/{workspace}', 'GET', _list_workspaces
                ),
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


async def _list_jobs(request: Request) -> Result[LeaderRequest, Failure]:
    return Ok(ListJobs())


async def _list_workers(request: Request) -> Result[LeaderRequest, Failure]:
    return Ok(ListWorkers())


async def _list_hosts(request: Request) -> Result[LeaderRequest, Failure]:
    return Ok(ListHosts())


async def _list_workspaces(request: Request) -> Result[LeaderRequest, Failure]:
    name = request.path_params.get('workspace', '')
    return Ok(ListWorkspaces(WorkspaceName(name)))


async def _submit(request: Request) -> Result[LeaderRequest, Failure]:
    submitted = await read_message(request, SubmitJob)
    # The header alone tells the key of the caller.
    return submitted.map(
        lambda call: evolve(
            call, place=evolve(call.place, key_digest=get_key_digest(request))
        ),
    )


async def _show(request: Request) -> Result[LeaderRequest, Failure]:
    job = JobId(request.path_params['job'])
    return Ok(ShowJob(get_queue_address(request), job))


async def _cancel(request: Request) -> Result[LeaderRequest, Failure]:
    job = JobId(request.path_params['job'])
    return Ok(CancelJob(get_queue_address(request), job))


async def _announce(request: Request) -> Result[LeaderRequest, Failure]:
    announced = await read_message(request, WorkerAnnouncement)
    return announced.map(AnnounceWorker)


async def _withdraw(request: Request) -> Result[LeaderRequest, Failure]:
    return Ok(WithdrawWorker(WorkerId(request.path_params['worker'])))


async def _read_manifest(request: Request) -> Result[LeaderRequest, Failure]:
    return Ok(ReadManifest())


async def _put_manifest(request: Request) -> Result[LeaderRequest, Failure]:
    manifest = await read_message(request, Manifest)
    return manifest.map(PutManifest)
