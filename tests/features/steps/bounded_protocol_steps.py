"""Steps that feed random bytes to the bounded protocol."""

from asyncio import Runner
from itertools import zip_longest
from typing import Any

from behave import then
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.support.bounded_protocol import LIMITS, FedProcess, make_pieces

MAX_PIECE_COST = 16 * 1024
CONNECTIONS = 2

FEEDS = st.lists(make_pieces(), min_size=CONNECTIONS, max_size=CONNECTIONS)


@then('{count:d} sequences of bytes to two connections keep the accounting')
def check_sequences(context: Any, count: int) -> None:
    """Check what is held, released and answered."""

    @settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(FEEDS)
    def check(feeds: list[list[bytes]]) -> None:  # noqa: WPS430
        with Runner() as runner:
            runner.run(_check_feeds(feeds))

    check()


async def _check_feeds(feeds: list[list[bytes]]) -> None:
    process = FedProcess()
    for _ in range(CONNECTIONS):
        process.connect()
    for pieces in zip_longest(*feeds, fillvalue=b''):
        for number, piece in enumerate(pieces):
            await process.feed(number, piece)
            _check_accounting(process)
    for position, runs in enumerate(process.runs):
        # Each request that ran was answered so, and no refused one ran.
        statuses = process.get_statuses(position)
        assert statuses.count(200) == runs, (statuses, runs)
    await process.close()
    intake = process.guard.intake
    assert not intake.connections
    assert not intake.per_client
    assert intake.held_bytes == 0, intake.held_bytes


def _check_accounting(process: FedProcess) -> None:
    intake = process.guard.intake
    assert intake.held_bytes == sum(intake.connections.values())
    assert intake.held_bytes <= LIMITS.unfinished_bytes + MAX_PIECE_COST
    for connection in intake.connections:
        if connection.refusal is None:
            assert connection.find_excess(LIMITS) is None, connection
