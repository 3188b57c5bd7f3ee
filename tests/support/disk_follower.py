"""Voter with a log on disk that follows a scripted leader."""

from asyncio import get_running_loop, sleep
from collections.abc import Mapping, Sequence
from pathlib import Path
from random import Random
from shutil import copytree, rmtree
from typing import Any, Final

from attrs import define, field, frozen

from hornbeamstair_replicas.groups.node import open_node
from hornbeamstair_replicas.groups.voting import VotingGroup
from hornbeamstair_replicas.messages import LogEntry, StoredLog, VoterId
from hornbeamstair_replicas.peer_messages import Envelope
from hornbeamstair_replicas.state_machine import StateMachine
from hornbeamstair_replicas.storage.file import FileLogStorage
from hornbeamstair_replicas.transport.base import LocalTransport
from hornbeamstair_replicas.voting.messages import (
    AppendAnswer,
    AppendRequest,
    SnapshotAnswer,
    SnapshotChunk,
    VoteAnswer,
    VoteRequest,
    VoterMessage,
)
from hornbeamstair_replicas.voting.timing import Timing
from tests.support.faulty_files import FaultyFiles
from tests.support.simulated_loop import SimulatedClock
from tests.support.voters import PayloadLog

__all__ = ('SCRIPT', 'DiskFollower', 'ScriptStep')

_OWN: Final = VoterId('a')
_LEADER: Final = VoterId('b')
_VOTERS: Final = (_OWN, _LEADER, VoterId('c'))
_GROUP: Final = 'test'
_SNAPSHOT_ENTRIES: Final = 8
_RETRY_SECONDS: Final = 0.1
# Bound for the recovery from the last failure.
_STEP_SECONDS: Final = 1.0


@frozen
class ScriptStep:
    """Message of the leader, and the log once it is acknowledged."""

    message: VoterMessage
    # Term of each entry, by index.
    terms: Mapping[int, int]


def _vote(term: int, last_index: int, terms: Mapping[int, int]) -> ScriptStep:
    last_term = terms.get(last_index, 0)
    request = VoteRequest(
        term, last_index, last_term, is_pre_vote=False, is_transfer=True
    )
    return ScriptStep(request, terms)


def _append(
    term: int,
    indexes: range,
    commit_index: int,
    known: Mapping[int, int],
) -> ScriptStep:
    previous_index = indexes.start - 1
    terms = dict(known)
    terms.update(dict.fromkeys(indexes, term))
    request = AppendRequest(
        term,
        previous_index,
        known.get(previous_index, 0),
        tuple(LogEntry(index, term, b'%d' % index) for index in indexes),
        commit_index,
        sent_at=0,
    )
    return ScriptStep(request, terms)


def _install(term: int, index: int) -> ScriptStep:
    chunk = SnapshotChunk(
        term,
        index,
        term,
        _VOTERS,
        offset=0,
        chunk=b'state',
        is_last=True,
        sent_at=0,
    )
    return ScriptStep(chunk, {index: term})


def _make_script() -> tuple[ScriptStep, ...]:
    """Vote, append, truncate, compact with later entries, and install."""
    steps = [_vote(1, 0, {})]
    for term, first, end, commit_index in (
        (1, 1, 4, 0),
        (1, 4, 7, 3),
        (2, 5, 8, 4),
        (2, 8, 13, 10),
        (2, 13, 14, 13),
    ):
        known = steps[-1].terms
        if term > steps[-1].message.term:
            steps.append(_vote(term, max(known), known))
        steps.append(_append(term, range(first, end), commit_index, known))
    installed = _install(2, 30)
    appended = _append(2, range(31, 33), 31, installed.terms)
    return (*steps, installed, appended, _vote(3, 32, appended.terms))


SCRIPT: Final = _make_script()


@define(eq=False)
class _AnswerLog(LocalTransport):
    """Transport that keeps what the voter sends."""

    sent: list[Any] = field(factory=list, init=False)

    def send(self, envelope: Envelope) -> None:
        """Keep a message."""
        self.sent.append(envelope.message)


@define(eq=False)
class DiskFollower:
    """Plays the script to a voter until it acknowledges each step."""

    folder: Path
    segment_bytes: int
    clock: SimulatedClock
    files: FaultyFiles
    state_machine: StateMachine = field(factory=PayloadLog)
    # Steps acknowledged so far.
    done: int = field(default=0, init=False)
    failed_at: float = field(default=0, init=False)
    transport: _AnswerLog = field(factory=lambda: _AnswerLog(_OWN), init=False)
    errors: list[Any] = field(factory=list, init=False)
    # The step that was not acknowledged in time.
    stuck: ScriptStep | None = field(default=None, init=False)

    async def play(self) -> None:
        """Play the script until a step is not acknowledged in time."""
        loop = get_running_loop()
        loop.set_exception_handler(
            lambda _, context: self.errors.append(context)
        )
        with self.files.work():
            group = self._open()
        group.start()
        for step in SCRIPT:
            if not await self._play_step(step):
                self.stuck = step
                break
            self.done += 1
            assert not self.files.cuts, self.files.cuts
            with self.files.work():
                self.check_stored()
        await group.stop()

    def handle_failure(self) -> None:
        """Check the log at a failure, and wait anew for the acknowledgement."""
        self.failed_at = self.clock.now
        self.check_stored()

    def check_stored(self) -> None:
        """Load a copy of the log, as a restart would find it now."""
        copied = Path(copytree(self.folder, f'{self.folder}-copy'))
        storage = FileLogStorage(copied)
        try:
            stored = storage.load()
        finally:
            storage.close()
            rmtree(copied)
        acknowledged = SCRIPT[self.done - 1 : self.done]
        for step in acknowledged:
            pending = SCRIPT[self.done : self.done + 1] or acknowledged
            _check_kept(stored, step, pending[0])

    def _open(self) -> VotingGroup:
        node = open_node(
            _GROUP,
            _OWN,
            FileLogStorage(self.folder, self.segment_bytes),
            self.state_machine,
            _VOTERS,
            Timing(),
            Random(1),
            self.clock.now,
        )
        node.snapshot_entries = _SNAPSHOT_ENTRIES
        node.get_time = self.clock.get_time
        return VotingGroup(_GROUP, node, self.transport, self.clock.get_time)

    async def _play_step(self, step: ScriptStep) -> bool:
        started_at = self.clock.now
        while self.clock.now < max(started_at, self.failed_at) + _STEP_SECONDS:
            self.transport.sent.clear()
            self.transport.receivers[_GROUP](_LEADER, step.message)
            await sleep(_RETRY_SECONDS)
            if _is_acknowledged(step.message, self.transport.sent):
                return True
        return False


def _is_acknowledged(message: VoterMessage, sent: Sequence[Any]) -> bool:
    for answer in sent:
        match answer:
            # A voter without a leader for long may refuse a vote again.
            case VoteAnswer(is_pre_vote=False):
                return isinstance(message, VoteRequest)
            case AppendAnswer(is_success=True):
                return isinstance(message, AppendRequest)
            case SnapshotAnswer(is_installed=True):
                return isinstance(message, SnapshotChunk)
    return False


def _check_kept(
    stored: StoredLog, step: ScriptStep, pending: ScriptStep
) -> None:
    """Check that all is stored that a step acknowledged and a next keeps."""
    term = step.message.term
    assert stored.vote.term >= term, (stored.vote, step)
    if stored.vote.term == term:
        assert stored.vote.voted_for == _LEADER, (stored.vote, step)
    covered_index = 0 if stored.snapshot is None else stored.snapshot.index
    terms = {entry.index: entry.term for entry in stored.entries}
    for index, entry_term in step.terms.items():
        is_kept = pending.terms.get(index, entry_term) == entry_term
        if index > covered_index and is_kept:
            assert terms.get(index) == entry_term, (index, terms, step)
