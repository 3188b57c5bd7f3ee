"""Steps for a replication group on a slow disk, with a simulated clock."""

import json
from asyncio import Runner, create_task, gather, sleep
from random import Random
from typing import Any

from behave import given, then, when

from hornbeamstair_replicas.groups.node import open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.messages import VoterId
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_replicas.voting.messages import AppendRequest
from hornbeamstair_replicas.voting.timing import Timing
from tests.support.simulated_loop import (
    SimulatedClock,
    SimulatedLoop,
    SlowStorage,
)
from tests.support.voters import PayloadLog

OWN = VoterId('a')
OTHER = VoterId('b')


@given('a group on a disk that takes {milliseconds:d} ms a sync')
def open_group(context: Any, milliseconds: int) -> None:
    """Open a group with a single voter."""
    clock = SimulatedClock()
    context.clock = clock
    context.storage = SlowStorage(
        clock=clock,
        sync_seconds=milliseconds / 1000,
    )
    node = open_node(
        'test',
        OWN,
        context.storage,
        PayloadLog(),
        (OWN,),
        Timing(),
        Random(1),
        clock.now,
    )
    node.get_time = clock.get_time
    context.group = VotingGroup(
        'test',
        node,
        LocalTransport(OWN),
        clock.get_time,
    )


@when('{rate:d} proposals per second arrive for {seconds:d} seconds')
def propose_stream(context: Any, rate: int, seconds: int) -> None:
    """Propose at a constant rate and measure the time of each commit."""
    with Runner(loop_factory=lambda: SimulatedLoop(context.clock)) as runner:
        runner.run(_propose_all(context, rate, rate * seconds))


@when('another voter leads before the batch of an earlier term is written')
def propose_across_terms(context: Any) -> None:
    """Receive from a newer leader between a proposal and its batch."""
    with Runner(loop_factory=lambda: SimulatedLoop(context.clock)) as runner:
        runner.run(_propose_across_terms(context))


@when('{count:d} proposals of {size:d} bytes are committed')
def propose_large(context: Any, count: int, size: int) -> None:
    """Propose large payloads one after the other."""
    with Runner(loop_factory=lambda: SimulatedLoop(context.clock)) as runner:
        runner.run(_propose_large(context.group, count, size))


@when(
    '{count:d} proposals are made at once of which the second cannot be encoded'
)
def propose_unencodable(context: Any, count: int) -> None:
    """Propose payloads that share a batch."""
    with Runner(loop_factory=lambda: SimulatedLoop(context.clock)) as runner:
        runner.run(_propose_unencodable(context, count))


@then(
    'its proposer gets the error '
    'and the other {count:d} are committed within {milliseconds:d} ms'
)
def check_others(context: Any, count: int, milliseconds: int) -> None:
    """Check the outcomes and the time of the last one."""
    first, failed, *others = context.outcomes
    assert isinstance(failed, UnicodeEncodeError), failed
    assert all(outcome.is_ok() for outcome in (first, *others))
    assert len(others) + 1 == count, others
    assert context.passed * 1000 <= milliseconds, context.passed


@then('at most {most:d} bytes of entries follow the snapshot')
def check_bytes(context: Any, most: int) -> None:
    """Check the size of the entries that a restart would apply again."""
    log = context.group.node.voter.state.log
    entries = log.get_slice(log.snapshot.index + 1, log.last_index)
    assert log.snapshot.index > 0, log.snapshot.index
    assert sum(len(entry.payload) for entry in entries) <= most


@then('it is refused with code {code:d} and not forwarded')
def check_refused(context: Any, code: int) -> None:
    """Check that the proposal was neither written nor forwarded."""
    assert context.answer.is_error(), context.answer
    assert context.answer.error.number == code, context.answer
    assert not context.group.forwarded.waiting


@then('syncs take at most {share:d} percent of the time')
def check_share(context: Any, share: int) -> None:
    """Check the share of the time that syncs took."""
    found = 100 * context.storage.spent_seconds / context.passed
    assert found <= share, f'{found:.0f} percent'


@then('each proposal is committed within {milliseconds:d} ms')
def check_commits(context: Any, milliseconds: int) -> None:
    """Check the time of the longest commit."""
    longest = max(context.commits) * 1000
    assert longest <= milliseconds, f'{longest:.0f} ms'


async def _propose_all(context: Any, rate: int, count: int) -> None:
    context.group.start()
    await sleep(1)
    began = context.clock.now
    spent = context.storage.spent_seconds
    context.commits = await gather(
        *(
            _propose_at(context, began + number / rate)
            for number in range(count)
        ),
    )
    context.passed = context.clock.now - began
    context.storage.spent_seconds -= spent
    await context.group.stop()


async def _propose_unencodable(context: Any, count: int) -> None:
    group = context.group
    group.start()
    await sleep(1)
    texts = ['valid'] * count
    # JSON may hold half of a character, which no encoding takes.
    texts[1] = json.loads(r'"\ud800"')
    began = context.clock.now
    context.outcomes = await gather(
        *(group.propose_once(text.encode) for text in texts),
        return_exceptions=True,
    )
    context.passed = context.clock.now - began
    await group.stop()


async def _propose_large(group: VotingGroup, count: int, size: int) -> None:
    group.start()
    await sleep(1)
    for _ in range(count):
        answer = await group.propose_once(bytes(size))
        assert answer.is_ok(), answer
    await group.stop()


async def _propose_at(context: Any, due: float) -> float:
    await sleep(due - context.clock.now)
    answer = await context.group.propose_once(b'x')
    assert answer.is_ok(), answer
    return float(context.clock.now - due)


async def _propose_across_terms(context: Any) -> None:
    group = context.group
    voter = group.node.voter
    group.start()
    await sleep(1)
    # The sync of this proposal delays the next batch.
    await group.propose_once(b'before')
    term = voter.state.term
    proposing = create_task(group.propose_once(b'late', term=term))
    await sleep(0)
    voter.receive(
        OTHER,
        AppendRequest(term + 1, 0, 0, (), 0, 0),
        context.clock.now,
    )
    context.answer = await proposing
    await group.stop()
