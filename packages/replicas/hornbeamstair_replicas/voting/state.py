"""State of a voter that is shared by its roles."""

from collections.abc import Iterable
from random import Random
from typing import Final

from attrs import define, field

from hornbeamstair_core.invariants import check_invariant
from hornbeamstair_replicas.messages import (
    LogEntry,
    Snapshot,
    VoteRecord,
    VoterId,
)
from hornbeamstair_replicas.voting.entry_log import EntryLog
from hornbeamstair_replicas.voting.messages import VoterMessage
from hornbeamstair_replicas.voting.outputs import (
    Outputs,
    SendMessage,
    StoreEntries,
    StoreSnapshot,
    StoreVote,
    TruncateEntries,
)
from hornbeamstair_replicas.voting.timing import Timing

__all__ = ('VoterState',)

_NO_LEADER = VoterId('')
# After this many election timeouts without contact, assume a new leader.
_STALE_LEADER_TIMEOUTS: Final = 2


@define(eq=False)
class VoterState:
    """Term, log and commit index, and the pending outputs."""

    voter: VoterId
    timing: Timing
    rng: Random
    log: EntryLog
    vote: VoteRecord
    commit_index: int = 0
    # Highest index that a leader is known to have committed.
    announced_index: int = 0
    leader: VoterId = _NO_LEADER
    leader_contact_at: float = 0
    synced_index: int = 0
    is_transfer: bool = False
    outputs: Outputs = field(factory=Outputs)

    @property
    def term(self) -> int:
        """Current term."""
        return self.vote.term

    def get_peers(self) -> list[VoterId]:
        """Return the other voters."""
        return [peer for peer in self.log.get_voters() if peer != self.voter]

    def is_voter(self) -> bool:
        """Return whether this process is one of the voters."""
        return self.voter in self.log.get_voters()

    def is_quorum(self, members: Iterable[VoterId]) -> bool:
        """Return whether the members include a majority of the voters."""
        voters = self.log.get_voters()
        present = set(members).intersection(voters)
        return len(present) * 2 > len(voters)

    def get_election_deadline(self, now: float) -> float:
        """Return a random time for the next election."""
        timing = self.timing
        return now + self.rng.uniform(timing.election_min, timing.election_max)

    def has_recent_leader(self, now: float) -> bool:
        """Return whether a leader sent a message within the election timeout.

        A voter that just started counts as having heard from a leader, because
        it may have done so before its restart.
        """
        return now - self.leader_contact_at < self.timing.election_min

    def get_recent_leader(self, now: float) -> VoterId:
        """Return the leader; empty if its last message is too old.

        A non-voting process receives no messages about elections.
        """
        contact_age = now - self.leader_contact_at
        is_stale = (
            contact_age > self.timing.election_max * _STALE_LEADER_TIMEOUTS
        )
        return _NO_LEADER if is_stale else self.leader

    def update_leader_contact(self, leader: VoterId, now: float) -> None:
        """Update the leader of this term and the time of its last message."""
        self.leader = leader
        self.leader_contact_at = now

    def update_announced_index(self, index: int) -> None:
        """Update the index up to which entries are known to be committed."""
        self.announced_index = max(self.announced_index, index)

    def enter_term(self, term: int) -> None:
        """Enter a newer term without voting in it."""
        self._set_vote(VoteRecord(term))

    def cast_vote(self, term: int, candidate: VoterId) -> None:
        """Vote for a candidate in a term."""
        check_invariant(
            term > self.term or self.vote.voted_for in {'', candidate},
            'a voter votes for one candidate per term',
            f'{self.voter} voted for {self.vote.voted_for} in term {term}',
        )
        self._set_vote(VoteRecord(term, candidate))

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Return whether another log is at least as up to date as this."""
        return (last_term, last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries to the log."""
        self.log.append(entries)
        self.outputs.writes.append(StoreEntries(entries))

    def truncate(self, first_index: int) -> None:
        """Remove uncommitted entries that conflict with a newer leader."""
        check_invariant(
            first_index > self.commit_index,
            'a committed entry never changes',
            f'{self.voter}: index {first_index}, committed {self.commit_index}',
        )
        self.log.truncate(first_index)
        self.synced_index = min(self.synced_index, first_index - 1)
        self.outputs.writes.append(TruncateEntries(first_index))

    def install(self, snapshot: Snapshot) -> None:
        """Replace the log by a snapshot."""
        self.log.reset(snapshot)
        self.commit(snapshot.index)
        self.outputs.writes.append(StoreSnapshot(snapshot))

    def commit(self, index: int) -> None:
        """Commit the entries up to an index."""
        check_invariant(
            index >= self.commit_index,
            'the commit index never decreases',
            f'{self.voter}: {index} after {self.commit_index}',
        )
        self.commit_index = index

    def send(self, receiver: VoterId, message: VoterMessage) -> None:
        """Send a message after the earlier writes are synced."""
        self.outputs.messages.append(SendMessage(receiver, message))

    def _set_vote(self, vote: VoteRecord) -> None:
        check_invariant(
            vote.term >= self.term,
            'the term never decreases',
            f'{self.voter}: {vote.term} after {self.term}',
        )
        if vote.term > self.term:
            self.leader = _NO_LEADER
        self.vote = vote
        self.outputs.writes.append(StoreVote(vote))
