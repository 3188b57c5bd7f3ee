"""State of a voter that all its roles share."""

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
# Heard no more for so many election timeouts, a leader has been replaced.
_STALE_TIMEOUTS: Final = 2


@define(eq=False)
class VoterState:
    """Term, log and commit index, and the outputs not yet carried out."""

    voter: VoterId
    timing: Timing
    rng: Random
    log: EntryLog
    vote: VoteRecord
    commit_index: int = 0
    leader: VoterId = _NO_LEADER
    leader_heard_at: float = 0
    synced_index: int = 0
    is_transfer: bool = False
    outputs: Outputs = field(factory=Outputs)

    @property
    def term(self) -> int:
        """Current term."""
        return self.vote.term

    def get_peers(self) -> list[VoterId]:
        """Get the other voters."""
        return [peer for peer in self.log.get_voters() if peer != self.voter]

    def is_voter(self) -> bool:
        """Tell whether this voter counts towards a quorum."""
        return self.voter in self.log.get_voters()

    def is_quorum(self, members: Iterable[VoterId]) -> bool:
        """Tell whether some members are more than half of the voters."""
        voters = self.log.get_voters()
        present = set(members).intersection(voters)
        return len(present) * 2 > len(voters)

    def get_election_deadline(self, now: float) -> float:
        """Get a random time at which an election is due."""
        timing = self.timing
        return now + self.rng.uniform(timing.election_min, timing.election_max)

    def heard_recently(self, now: float) -> bool:
        """Tell whether a leader was heard within the election timeout.

        A voter that starts may have heard one just before.
        """
        return now - self.leader_heard_at < self.timing.election_min

    def get_recent_leader(self, now: float) -> VoterId:
        """Get the leader; empty if it was not heard for long.

        A process that does not vote hears of no election.
        """
        silence = now - self.leader_heard_at
        is_stale = silence > self.timing.election_max * _STALE_TIMEOUTS
        return _NO_LEADER if is_stale else self.leader

    def hear_leader(self, leader: VoterId, now: float) -> None:
        """Note a message of the leader of this term."""
        self.leader = leader
        self.leader_heard_at = now

    def enter_term(self, term: int) -> None:
        """Enter a newer term without a vote."""
        self._put_vote(VoteRecord(term))

    def cast_vote(self, term: int, candidate: VoterId) -> None:
        """Vote for a candidate in a term."""
        check_invariant(
            term > self.term or self.vote.voted_for in {'', candidate},
            'a voter votes once a term',
            f'{self.voter} voted for {self.vote.voted_for} in {term}',
        )
        self._put_vote(VoteRecord(term, candidate))

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Tell whether another log is at least as new as this one."""
        return (last_term, last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )

    def append(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries to the log."""
        self.log.append(entries)
        self.outputs.writes.append(StoreEntries(entries))

    def truncate(self, first_index: int) -> None:
        """Remove entries that another leader replaced."""
        check_invariant(
            first_index > self.commit_index,
            'a committed entry never changes',
            f'{self.voter}: {first_index} of {self.commit_index}',
        )
        self.log.truncate(first_index)
        self.synced_index = min(self.synced_index, first_index - 1)
        self.outputs.writes.append(TruncateEntries(first_index))

    def install(self, snapshot: Snapshot) -> None:
        """Put a snapshot in place of the log."""
        self.log.reset(snapshot)
        self.commit(snapshot.index)
        self.outputs.writes.append(StoreSnapshot(snapshot))

    def commit(self, index: int) -> None:
        """Commit the entries up to an index."""
        check_invariant(
            index >= self.commit_index,
            'the commit index never falls',
            f'{self.voter}: {index} after {self.commit_index}',
        )
        self.commit_index = index

    def send(self, receiver: VoterId, message: VoterMessage) -> None:
        """Send a message once the writes before it are synced."""
        self.outputs.messages.append(SendMessage(receiver, message))

    def _put_vote(self, vote: VoteRecord) -> None:
        check_invariant(
            vote.term >= self.term,
            'the term never falls',
            f'{self.voter}: {vote.term} after {self.term}',
        )
        if vote.term > self.term:
            self.leader = _NO_LEADER
        self.vote = vote
        self.outputs.writes.append(StoreVote(vote))
