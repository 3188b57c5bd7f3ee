"""Steps with faulty upstreams."""

from time import sleep
from typing import Any

from aiosonic import HTTPClient
from aiosonic.exceptions import AiosonicError
from behave import given, then, when

from hornbeamstair_tools.faults import Fault
from hornbeamstair_tools.stand_in_upstream import StandInUpstream
from hornbeamstair_upstreams.directory import LEASE_SECONDS
from tests.support.world import World

PAUSE_MARGIN_SECONDS = 0.3


@given(
    'an upstream "{name}" of "{service}" that echoes after {seconds:g} seconds'
)
def add_echo_upstream(
    context: Any,
    name: str,
    service: str,
    seconds: float,
) -> None:
    """Start a stand-in upstream that answers with the path of the call."""
    context.world.add_upstream(
        name,
        service,
        delay_seconds=seconds,
        echoes=True,
    )


@given('an upstream "{name}" of "{service}" with an answer of {size:d} bytes')
def add_large_upstream(
    context: Any,
    name: str,
    service: str,
    size: int,
) -> None:
    """Start a stand-in upstream with a large answer."""
    context.world.add_upstream(name, service, response_body=b'x' * size)


@when('the upstream "{name}" gets the fault "{fault}"')
def set_fault(context: Any, name: str, fault: str) -> None:
    """Set the fault of an upstream."""
    context.world.upstreams[name].fault = Fault(fault)


@when('the upstream "{name}" echoes after {seconds:g} seconds')
def set_delay(context: Any, name: str, seconds: float) -> None:
    """Change the answer delay of an upstream."""
    context.world.upstreams[name].delay_seconds = seconds


@when('the upstream "{name}" closes its port')
def close_port(context: Any, name: str) -> None:
    """Close the port of an upstream, which keeps renewing its lease."""
    upstream: StandInUpstream = context.world.upstreams[name]
    assert upstream.server is not None
    upstream.server.close()


@when('"{customer}" sends "{method}" to "{path}"')
def send_method(context: Any, customer: str, method: str, path: str) -> None:
    """Send a call with an HTTP method."""
    context.world.call(path, customer, method=method)


@when('"{customer}" sends {count:d} calls one after another to "{path}"')
def send_sequentially(
    context: Any,
    customer: str,
    count: int,
    path: str,
) -> None:
    """Send calls sequentially."""
    world: World = context.world
    world.responses = [world.call(path, customer) for _ in range(count)]


@when('"{customer}" sends concurrent calls to "{paths}"')
def send_concurrently(context: Any, customer: str, paths: str) -> None:
    """Send one call to each path, concurrently."""
    context.paths = paths.split()
    context.world.call_many(context.paths, customer)


@when(
    '"{customer}" sends "{method}" to "{path}" and reads the answer to its end'
)
def send_and_read(
    context: Any,
    customer: str,
    method: str,
    path: str,
) -> None:
    """Send a call whose answer may be truncated."""
    world: World = context.world
    context.answer_status = None
    context.truncation = None
    world.run(_read_answer(context, customer, path))


async def _read_answer(context: Any, customer: str, path: str) -> None:
    """Read an answer; keep its status, and the error that cut it."""
    world: World = context.world
    await world.renew_leases()
    url = f'{world.get_daemon().callers_url}{path}'
    headers = {'hornbeamstair-customer': customer}
    async with HTTPClient() as client:
        answer = await client.post(url, headers=headers, data=b'{}')
        context.answer_status = answer.status_code
        try:
            context.answer_body = await answer.content()
        except (AiosonicError, EOFError, ValueError) as error:
            context.truncation = error


@when('the suite stands still for longer than a lease')
def stand_still(context: Any) -> None:
    """Keep the loop of the scenario, and so its renewals, from running."""
    sleep(LEASE_SECONDS + PAUSE_MARGIN_SECONDS)


@then('the answer began with status {status:d} and was truncated')
def check_truncated(context: Any, status: int) -> None:
    """Check that the caller was answered and detected the truncation."""
    assert context.answer_status == status, context.answer_body
    assert context.truncation is not None, len(context.answer_body)


@then('the answer has {size:d} bytes')
def check_size(context: Any, size: int) -> None:
    """Check the size of the answer."""
    assert len(context.world.responses[0].body) == size


@then('the request "{line}" arrived {count:d} times')
def check_arrivals(context: Any, line: str, count: int) -> None:
    """Check how often a request arrived, summed over all upstreams."""
    arrived = sum(
        number
        for upstream in context.world.upstreams.values()
        for key, number in upstream.arrivals.items()
        if key.startswith(line)
    )
    assert arrived == count, arrived


@then('each answer equals the path of its call')
def check_echoes(context: Any) -> None:
    """Check that no answer was delivered to another call."""
    bodies = [answer.body.decode() for answer in context.world.responses]
    assert bodies == context.paths, bodies
