"""Steps with a restarted voter and a leader that it hears from."""

from asyncio import Runner, sleep
from random import Random
from time import monotonic
from typing import Any

from behave import given, then, when

from hornbeamstair_replicas.groups.node import open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.messages import EntryKind, LogEntry, VoterId
from hornbeamstair_replicas.storage.memory import MemoryLogStorage
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_replicas.voting.messages import AppendRequest
from hornbeamstair_replicas.voting.timing import Timing
from tests.support.voters import PayloadLog

GROUP = 'test'
OWN = VoterId('a')
LEADER = VoterId('b')
VOTERS = (OWN, LEADER, VoterId('c'))


@given('a voter that stored {count:d} entries of term {term:d} and restarts')
def restart_voter(context: Any, count: int, term: int) -> None:
    """Start one of three voters from its storage."""
    _restart(context, count, term, VOTERS)


@given(
    'a sole voter that stored {count:d} entries of term {term:d} and restarts',
)
def restart_sole_voter(context: Any, count: int, term: int) -> None:
    """Start the only voter from its storage."""
    _restart(context, count, term, (OWN,))


@when(
    'the leader of term {term:d} refers to entry {index:d}, the last committed '
    'one',
)
def refer_to_entry(context: Any, term: int, index: int) -> None:
    """Deliver a heartbeat after an entry that the voter lacks."""
    _deliver(context, AppendRequest(term, index, term, (), index, 0))


@when('the leader of term {term:d} sends entries {first:d} to {last:d}')
def send_committed(context: Any, term: int, first: int, last: int) -> None:
    """Deliver entries that are all committed."""
    _send_entries(context, term, range(first, last + 1), last)


@when(
    'the leader of term {term:d} sends entries {first:d} to {last:d} and has '
    'committed {committed:d}',
)
def send_entries(
    context: Any,
    term: int,
    first: int,
    last: int,
    committed: int,
) -> None:
    """Deliver entries and the index of the last committed one."""
    _send_entries(context, term, range(first, last + 1), committed)


@then('the voter has caught up')
def check_caught_up(context: Any) -> None:
    """Check that the process may act on its state."""
    assert context.group.is_caught_up()


@then('the voter has not caught up')
def check_not_caught_up(context: Any) -> None:
    """Check that the process may not act on its state."""
    assert not context.group.is_caught_up()


@then('it has applied {count:d} entries')
def check_applied(context: Any, count: int) -> None:
    """Check the number of applied payloads."""
    payloads = context.group.node.state_machine.payloads
    assert len(payloads) == count, payloads


def _restart(
    context: Any,
    count: int,
    term: int,
    voters: tuple[VoterId, ...],
) -> None:
    storage = MemoryLogStorage()
    storage.append(_make_entries(range(1, count + 1), term))
    storage.sync()
    node = open_node(
        GROUP,
        OWN,
        storage,
        PayloadLog(),
        voters,
        Timing(),
        Random(1),
        monotonic(),
    )
    context.group = VotingGroup(GROUP, node, LocalTransport(OWN), monotonic)
    context.runner = Runner()
    context.add_cleanup(context.runner.close)
    context.runner.run(_start(context.group))


async def _start(group: VotingGroup) -> None:
    group.start()
    await sleep(0)


def _send_entries(
    context: Any,
    term: int,
    indexes: range,
    committed: int,
) -> None:
    log = context.group.node.voter.state.log
    previous = indexes[0] - 1
    entries = _make_entries(indexes, term)
    previous_term = log.find_term(previous) or 0
    _deliver(
        context,
        AppendRequest(term, previous, previous_term, entries, committed, 0),
    )


def _make_entries(indexes: range, term: int) -> tuple[LogEntry, ...]:
    return tuple(
        LogEntry(index, term, b'x', EntryKind.payload) for index in indexes
    )


def _deliver(context: Any, request: AppendRequest) -> None:
    context.runner.run(_handle(context.group, request))


async def _handle(group: VotingGroup, request: AppendRequest) -> None:
    group.transport.receivers[GROUP](LEADER, request)
    await sleep(0)
