"""Steps for the connections between processes."""

from asyncio import sleep, timeout
from contextlib import suppress
from functools import partial
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from websockets.asyncio.client import connect

from hornbeamstair_core.front_end import SocketAddress
from hornbeamstair_core.metrics import Metrics
from hornbeamstair_core.units import MIB
from hornbeamstair_replicas.calls.messages import LeaderAnswer, LeaderCall
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.peer_messages import Envelope
from hornbeamstair_replicas.transport.resolvers import (
    AddressedPeersResolver,
    get_addressed_process,
)
from hornbeamstair_replicas.transport.websocket import WebsocketTransport
from hornbeamstair_replicas.voter_ids import get_address
from hornbeamstair_tools.ports import get_free_port

GROUP = 'calls'
ANSWER_SECONDS = 2
SERVER_ADDRESS = '127.0.1.1'


@given('a process that answers and {count:d} that ask')
def make_processes(context: Any, count: int) -> None:
    """Start the transports of all processes."""
    context.world.run(_start(context, count))


@given('a process that answers and {count:d} that asks as an earlier version')
def make_earlier_processes(context: Any, count: int) -> None:
    """Start transports that offer no subprotocol."""

    def connect_earlier(*args: Any, **options: Any) -> Any:  # noqa: WPS430
        options.pop('subprotocols')
        return connect(*args, **options)

    connector = patch(
        'hornbeamstair_replicas.transport.websocket.connect', connect_earlier
    )
    connector.start()
    context.add_cleanup(connector.stop)
    context.world.run(_start(context, count))


@when('the first question cannot be handled')
def break_first_question(context: Any) -> None:
    """Have the receiver raise an error once."""
    answer = context.server.receivers[GROUP]

    def fail_once(sender: VoterId, message: Any) -> None:  # noqa: WPS430
        context.server.add_receiver(GROUP, answer)
        raise OverflowError('too large')

    context.server.add_receiver(GROUP, fail_once)


@when('a question of {size:d} MiB is sent')
def ask_large(context: Any, size: int) -> None:
    """Send a question that no process accepts."""
    context.world.run(_ask_large(context, bytes(size * MIB)))


@when('each of them asks {count:d} times')
def ask(context: Any, count: int) -> None:
    """Send questions and wait for their answers."""
    context.world.run(_ask_all(context, count))


@when('the process that answers is restarted')
def restart(context: Any) -> None:
    """Stop the transport and start another one at its address."""
    context.world.run(_restart(context))


@then('each of them has {count:d} answers')
def check_answers(context: Any, count: int) -> None:
    """Check the number of answers."""
    counts = [len(answers) for answers in context.answers]
    assert counts == [count] * len(counts), counts


@then('the process that answers has opened {count:d} connections')
def check_opened(context: Any, count: int) -> None:
    """Check the outgoing connections."""
    assert len(context.server.peers) == count, context.server.peers


@then('{count:d} connection was accepted')
def check_accepted(context: Any, count: int) -> None:
    """Check the accepted connections."""
    assert len(context.server.server.connections) == count


@then('a question without a retry is answered within {seconds:d} seconds')
def check_reopened(context: Any, seconds: int) -> None:
    """Wait for the reopened connection, then ask once."""
    context.world.run(_check_reopened(context, seconds))


async def _start(context: Any, count: int) -> None:
    port = get_free_port()
    context.server_socket = SocketAddress(SERVER_ADDRESS, port)
    context.server = await _start_server(context.server_socket)
    context.clients = []
    context.answers = []
    for number in range(count):
        client = _make(SocketAddress(f'127.0.2.{number + 1}', port))
        answers: list[LeaderAnswer] = []
        client.add_receiver(GROUP, partial(_keep, answers))
        await client.start()
        context.clients.append(client)
        context.answers.append(answers)
    context.world.stops.append(partial(_stop, context))


async def _stop(context: Any) -> None:
    for transport in (context.server, *context.clients):
        await transport.stop()


def _keep(
    answers: list[LeaderAnswer], sender: VoterId, answer: LeaderAnswer
) -> None:
    answers.append(answer)


async def _start_server(listener: SocketAddress) -> WebsocketTransport:
    server = _make(listener)

    def answer(sender: VoterId, call: LeaderCall) -> None:  # noqa: WPS430
        reply = LeaderAnswer(call.number, b'', True, server.own, ())
        server.answer(Envelope(GROUP, server.own, sender, reply))

    server.add_receiver(GROUP, answer)
    await server.start()
    return server


def _make(listener: SocketAddress) -> WebsocketTransport:
    return WebsocketTransport(
        get_address(get_addressed_process(listener)),
        listen_address=listener,
        key=b'',
        metrics=Metrics(),
        resolver=AddressedPeersResolver(),
    )


async def _ask_all(context: Any, count: int) -> None:
    for number in range(count):
        for client in context.clients:
            _ask(context, client, number)
    # The next step checks how many came.
    with suppress(TimeoutError):
        async with timeout(ANSWER_SECONDS):
            while any(len(found) < count for found in context.answers):
                await sleep(0.01)


def _ask(context: Any, client: WebsocketTransport, number: int) -> None:
    receiver = get_address(get_addressed_process(context.server_socket))
    call = LeaderCall(number, b'')
    client.send(Envelope(GROUP, client.own, receiver, call))


async def _ask_large(context: Any, payload: bytes) -> None:
    client = context.clients[0]
    receiver = get_address(get_addressed_process(context.server_socket))
    call = LeaderCall(0, payload)
    client.send(Envelope(GROUP, client.own, receiver, call))


async def _restart(context: Any) -> None:
    await context.server.stop()
    context.server = await _start_server(context.server_socket)


async def _check_reopened(context: Any, seconds: float) -> None:
    client = context.clients[0]
    async with timeout(seconds):
        while not client.is_connected(context.server.own):
            await sleep(0.01)
        context.answers[0].clear()
        _ask(context, client, 7)
        while not context.answers[0]:
            await sleep(0.01)
