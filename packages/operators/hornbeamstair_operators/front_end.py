"""HTTP front end of the operators' API, with JSON bodies."""

import hmac
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, ClassVar, Final

from attrs import define
from expression import Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from hornbeamstair_core.codec import (
    decode_json_mapping,
    encode_failure,
    json_converter,
)
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.front_end import HttpFrontEnd, read_body
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_operators.change_documents import (
    decode_change_document,
    decode_voter_change,
)
from hornbeamstair_operators.failures import UnauthorizedFailure
from hornbeamstair_operators.messages import ChangeAnswer
from hornbeamstair_operators.service import OperatorsService

__all__ = ('OperatorsHttpFrontEnd',)

_MAX_CHANGE_BYTES: Final = 262144


@define
class OperatorsHttpFrontEnd(HttpFrontEnd):
    """HTTP front end of the operators' service.

    All requests but those for metrics need the bearer token.
    """

    name: ClassVar[str] = 'operators_http'

    service: OperatorsService
    metrics: Metrics
    get_status: Callable[[], object]
    token: str

    def get_app(self) -> Starlette:
        """Get the Starlette application of the API."""
        return Starlette(routes=self.get_routes())

    def get_routes(self) -> list[Route]:
        """Get the routes of the API."""
        return [
            Route('/v1/changes', self.change, methods=['POST']),
            Route('/v1/contracts', self.list_contracts),
            Route('/v1/contracts/{customer}', self.show_contract),
            Route('/v1/contracts/{customer}/limits', self.explain_contract),
            Route('/v1/pools', self.list_pools),
            Route('/v1/processes', self.list_processes),
            Route('/v1/voters', self.change_voters, methods=['POST']),
            Route('/v1/status', self.show_status),
            Route('/metrics', self.show_metrics),
        ]

    async def change(self, request: Request) -> Response:
        """Commit a change."""
        if not self._is_authorized(request):
            return self._refuse(UnauthorizedFailure())
        body = await read_body(request, _MAX_CHANGE_BYTES)
        if body.is_error():
            return self._refuse(body.error)
        change = body.bind(decode_json_mapping).bind(decode_change_document)
        if change.is_error():
            return self._refuse(change.error)
        answer = await self.service.change(change.ok)
        return self._respond_to_change(answer)

    async def list_contracts(self, request: Request) -> Response:
        """List the contracts in force."""
        return self._respond_with(request, self.service.get_contracts)

    async def show_contract(self, request: Request) -> Response:
        """Show the contract of a customer."""
        if not self._is_authorized(request):
            return self._refuse(UnauthorizedFailure())
        return self._respond(
            self.service.find_contract(request.path_params['customer']),
        )

    async def explain_contract(self, request: Request) -> Response:
        """Explain how the limits of a contract are derived."""
        if not self._is_authorized(request):
            return self._refuse(UnauthorizedFailure())
        return self._respond(
            self.service.explain(request.path_params['customer']),
        )

    async def list_pools(self, request: Request) -> Response:
        """List the pools in force."""
        return self._respond_with(request, self.service.get_pools)

    async def list_processes(self, request: Request) -> Response:
        """List the revision that each process has in force."""
        if not self._is_authorized(request):
            return self._refuse(UnauthorizedFailure())
        return self._respond(await self.service.admin.list_processes())

    async def change_voters(self, request: Request) -> Response:
        """Add or remove a voter, or transfer the leadership."""
        if not self._is_authorized(request):
            return self._refuse(UnauthorizedFailure())
        body = await read_body(request, _MAX_CHANGE_BYTES)
        change = body.bind(decode_json_mapping).bind(decode_voter_change)
        if change.is_error():
            return self._refuse(change.error)
        action, voter = change.ok
        return self._respond(
            await self.service.admin.change_voters(action, voter),
        )

    async def show_status(self, request: Request) -> Response:
        """Show the status of the process."""
        return self._respond_with(request, self.get_status)

    async def show_metrics(self, request: Request) -> Response:
        """Show the metrics of the process."""
        return Response(self.metrics.get_exposition(), media_type='text/plain')

    def _is_authorized(self, request: Request) -> bool:
        presented = request.headers.get('authorization', '')
        expected = f'Bearer {self.token}'
        return hmac.compare_digest(presented.encode(), expected.encode())

    def _respond_with(
        self,
        request: Request,
        get_message: Callable[[], object],
    ) -> Response:
        if not self._is_authorized(request):
            return self._refuse(UnauthorizedFailure())
        return JSONResponse(json_converter.unstructure(get_message()))

    def _respond(self, outcome: Result[Any, Failure]) -> Response:
        if outcome.is_error():
            return self._refuse(outcome.error)
        return JSONResponse(json_converter.unstructure(outcome.ok))

    def _respond_to_change(
        self, answer: Result[ChangeAnswer, Failure]
    ) -> Response:
        if answer.is_error():
            return self._refuse(answer.error)
        status = HTTPStatus.OK if answer.ok.accepted else HTTPStatus.CONFLICT
        return JSONResponse(json_converter.unstructure(answer.ok), status)

    def _refuse(self, failure: Failure) -> Response:
        self.metrics.count_refusal(failure)
        return JSONResponse(encode_failure(failure), failure.http_status)
