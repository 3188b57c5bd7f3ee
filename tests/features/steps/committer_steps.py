"""Steps on the committer of the leader's decisions."""

from asyncio import Runner, sleep
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from expression import Ok, Result

from hornbeamstair_callers.endpoints.committing import EntryCommitter
from hornbeamstair_callers.jobs.effects import CommitBatch
from hornbeamstair_callers.jobs.records import JobFailed
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import JobId

TERM = 1


class LeadingGroup:
    """Group that leads for good and commits what it is given."""

    recovery = SimpleNamespace(failure=None)
    node = SimpleNamespace(
        voter=SimpleNamespace(
            state=SimpleNamespace(term=TERM), leader_role=object()
        ),
    )

    async def propose_once(
        self, write: Callable[[], bytes], timeout: float, term: int
    ) -> Result[None, Failure]:
        """Encode a proposal and accept it."""
        write()
        return Ok(None)


class FailingCodec:
    """Codec that fails once."""

    def __init__(self) -> None:
        """Begin without any encoding."""
        self.encoded = 0

    def encode(self, records: Any) -> bytes:
        """Fail the first time."""
        self.encoded += 1
        if self.encoded == 1:
            raise ValueError
        return b''


@given('a committer whose first encoding and first handling fail')
def make_committer(context: Any) -> None:
    """Make a committer with a group that leads."""
    context.handled = []
    context.codec = FailingCodec()
    group: Any = LeadingGroup()
    codec: Any = context.codec
    context.committer = EntryCommitter(
        group, codec, lambda batch: _handle(context, batch)
    )


@when('{count:d} batches that share an entry are added')
def add_batches(context: Any, count: int) -> None:
    """Add batches at once and wait for a second attempt."""
    with Runner() as runner:
        runner.run(_add(context.committer, count))


@then('the entry is proposed again and the other {count:d} batches are handled')
def check_handled(context: Any, count: int) -> None:
    """Check the attempts, and the batches after the first one."""
    assert context.codec.encoded == 2, context.codec.encoded
    assert len(context.handled) == count + 1, context.handled


async def _add(committer: EntryCommitter, count: int) -> None:
    for number in range(count):
        record = JobFailed(JobId(f'{number:016x}'), 0)
        committer.add(CommitBatch((record,)), TERM)
    await sleep(0.5)


def _handle(context: Any, batch: CommitBatch) -> None:
    context.handled.append(batch)
    if len(context.handled) == 1:
        raise ValueError
