"""Steps for the decoders and front ends of the adapter."""

import json
from asyncio import run
from collections.abc import Iterator
from copy import deepcopy
from random import Random
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from expression import Ok, Result

from hornbeamstair_callers.jobs.requests import (
    CountPending,
    PendingReply,
    QueueAddress,
)
from hornbeamstair_callers.jobs.service import JobRequestHandler
from hornbeamstair_core.front_end import SocketAddress
from hornbeamstair_core.ids import JobId, WorkerId
from hornbeamstair_platform.callers_front_end import CallersFrontEnd
from hornbeamstair_platform.http_responses import make_failure_response
from hornbeamstair_platform.job_codec import decode_job
from hornbeamstair_platform.manifest_codec import decode_manifest
from hornbeamstair_platform.wave_codec import decode_wave
from hornbeamstair_platform.worker_codec import (
    decode_order_answer,
    decode_poll_answer,
    decode_worker_announcement,
)
from hornbeamstair_replicas.failures import (
    NotCommittedFailure,
    NotLeaderFailure,
)
from tests.support.work_model import WorkModel

HUGE_NUMBER = 10**30
MUTATION_VALUES = (None, -1, 1.5, 'x', '', True, HUGE_NUMBER)
MUTATION_LISTS = ((), ((),), (None,))
DECODERS = {
    'manifest': decode_manifest,
    'job': lambda body: decode_job(JobId('0' * 16), body),
    'announcement': lambda body: decode_worker_announcement(
        WorkerId('i-1'), body
    ),
    'wave': decode_wave,
    'poll answer': lambda body: Ok(decode_poll_answer(200, body)),
    'order answer': lambda body: Ok(decode_order_answer(409, body)),
}
EXAMPLES = {
    'manifest': {
        'version': 3,
        'routes': [
            {
                'name': 'r',
                'host': 'h',
                'path_prefix': '/p/',
                'service': 's',
                'timeout_ms': 3000,
                'priority': 1,
                'max_attempts': 2,
                'stretch': 1.6,
                'completion_target_ms': 600,
                'advice': {'decision_ms': 1, 'valid_ms': 2},
            },
        ],
        'services': [{'name': 's', 'standby': False}],
        'tenants': [
            {
                'name': 't',
                'api_keys': ['k'],
                'weight': 3,
                'max_count': {'cpu': 4, 'mem_mb': 5},
            },
        ],
    },
    'job': {
        'spec': 'text',
        'phases': [
            {'count': 2, 'cpu': 500, 'mem_mb': 10, 'estimate_ms': 900},
            {'count': 1, 'cpu': 500, 'after': [0], 'gang': True},
        ],
        'repeat_count': 2,
        'interval_ms': 100,
    },
    'announcement': {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'state': 'ready',
        'capacity': {'cpu': 1, 'mem_mb': 2, 'gpu': 0},
        'labels': ['a', 'r1'],
        'sequence': 4,
        'born': 1764850000000,
    },
    'wave': {'wave': 1, 'machines': ['m'], 'deadline_s': 20, 'max_count': 1},
    'poll answer': {
        'clock_ms': 5,
        'born': 7,
        'running': [['a.0.0.1', 1, '', 40, 12]],
        'finished': [[1, 'a.0.0.2', 1, 'done', '']],
    },
    'order answer': {'clock_ms': 5, 'reason': 'fence', 'born': 7},
}


@given('the decoder of {message}')
def choose_decoder(context: Any, message: str) -> None:
    """Choose a decoder and a copy of its example."""
    context.decode = DECODERS[message]
    context.example = deepcopy(EXAMPLES[message])


@when('the field "{name}" is missing')
def drop_field(context: Any, name: str) -> None:
    """Remove a field of the example."""
    context.example.pop(name)


@when('the field "{name}" is "{text}"')
def set_field(context: Any, name: str, text: str) -> None:
    """Replace a field of the example."""
    context.example[name] = text


@then('it decodes the example')
def check_example(context: Any) -> None:
    """Check that the example is decoded."""
    outcome = _decode(context, context.example)
    assert outcome.is_ok(), outcome.error


@then('it decodes {count:d} mutations of the example without an exception')
def check_mutations(context: Any, count: int) -> None:
    """Check that mutated fields give a message or a numbered failure."""
    rng = Random(1)
    for _ in range(count):
        example = deepcopy(context.example)
        _mutate(rng, example)
        outcome = _decode(context, example)
        assert outcome.is_ok() or outcome.error.number, example
    for body in (b'', b'\xff\xfe', b'[' * 100000, b'3', b'{"a":'):
        context.decode(body)


@then('it fails with code {code:d}')
def check_failure_code(context: Any, code: int) -> None:
    """Check the code of the failure."""
    outcome = _decode(context, context.example)
    assert outcome.is_error(), outcome
    assert outcome.error.number == code, outcome.error


@then('a failure that may have run is answered with status {status:d}')
def check_unknown_outcome(context: Any, status: int) -> None:
    """Check the status of an unknown outcome."""
    response = make_failure_response(NotCommittedFailure('no answer'))
    assert response.status_code == status, response.status_code


@then(
    'a failure that has certainly not run is answered with status {status:d} '
    'and a retry time',
)
def check_retry_time(context: Any, status: int) -> None:
    """Check the status of a refusal and its retry time."""
    response = make_failure_response(NotLeaderFailure(''))
    assert response.status_code == status, response.status_code
    assert int(response.headers['retry-after']) >= 1


def _decode(context: Any, example: Any) -> Result[Any, Any]:
    return context.decode(json.dumps(example).encode())


def _mutate(rng: Random, example: Any) -> None:
    """Drop or replace one field, at any depth."""
    container = rng.choice(list(_get_containers(example)))
    keys = container if isinstance(container, dict) else range(len(container))
    key = rng.choice(list(keys))
    if isinstance(container, dict) and rng.choice((True, False)):
        container.pop(key)
    else:
        container[key] = rng.choice((*MUTATION_VALUES, *MUTATION_LISTS))


def _get_containers(node: Any) -> Iterator[Any]:
    """Get all non-empty objects and lists, at any depth."""
    if not isinstance(node, dict | list) or not node:
        return
    yield node
    nested = node.values() if isinstance(node, dict) else node
    for inner in list(nested):
        yield from _get_containers(inner)


@then('a response of a process that is ready keeps the connection open')
def check_kept_open(context: Any) -> None:
    """Check that no header closes the connection."""
    assert 'connection' not in run(_get_response_headers(is_ready=True))


@then('a response of a process that is not ready closes the connection')
def check_closed(context: Any) -> None:
    """Check the header that closes the connection."""
    assert run(_get_response_headers(is_ready=False))['connection'] == 'close'


class StubLeaderClient:
    """Stand-in for the leader client, with one pending job."""

    def __init__(self) -> None:
        """Begin without a request."""
        self.requests: list[Any] = []

    async def ask(self, request: Any, seconds: float) -> Result[Any, Any]:
        """Return the reply at once."""
        self.requests.append(request)
        return Ok(PendingReply(1))


@when('a caller sends {method} to "{path}"')
def send_request(context: Any, method: str, path: str) -> None:
    """Send a request without a body to a front end."""
    context.client = StubLeaderClient()
    context.messages = run(_call(context.client, method, path, is_ready=True))


@then(
    'the response has status {status:d}, and {count:d} requests reach the '
    'leader',
)
def check_status(context: Any, status: int, count: int) -> None:
    """Check the status of the response."""
    assert context.messages[0]['status'] == status, context.messages
    assert len(context.client.requests) == count, context.client.requests


@when('the jobs that wait at "{path}" are counted')
def count_pending(context: Any, path: str) -> None:
    """Count the jobs of a queue of the model."""
    work = WorkModel(Random(1))
    committer: Any = SimpleNamespace(find_scheduler=lambda: work.scheduler)
    handler = JobRequestHandler(work.tables, committer, work.get_moment)
    place = QueueAddress('host', path)
    context.counted = run(handler.handle(CountPending(place)))


@then('the count has code {code:d}')
def check_count(context: Any, code: int) -> None:
    """Check the failure of the count; 0 for none."""
    counted = context.counted
    found = counted.error.number if counted.is_error() else 0
    assert found == code, counted


async def _get_response_headers(*, is_ready: bool) -> dict[str, str]:
    client = StubLeaderClient()
    messages = await _call(client, 'GET', '/p/', is_ready=is_ready)
    return {
        name.decode(): text.decode()
        for message in messages
        for name, text in message.get('headers', ())
    }


async def _call(
    client: StubLeaderClient, method: str, path: str, *, is_ready: bool
) -> list[dict[str, Any]]:
    front_end = CallersFrontEnd(
        SocketAddress('127.0.0.1', 0),
        client=client,
        is_ready=lambda: is_ready,
    )
    messages: list[dict[str, Any]] = []

    async def send(message: dict[str, Any]) -> None:  # noqa: WPS430
        messages.append(message)

    scope = {
        'type': 'http',
        'method': method,
        'path': path,
        'query_string': b'',
        'headers': [],
    }
    await front_end.handle_request(scope, _receive_empty_body, send)
    return messages


async def _receive_empty_body() -> dict[str, Any]:
    return {'type': 'http.request', 'body': b''}
