"""Choice of the process that receives a call to the leader."""

from collections.abc import Iterable

from attrs import define, field

from hornbeamstair_replicas.messages import VoterId

__all__ = ('LeaderTargets',)


@define(eq=False)
class LeaderTargets:
    """The known leader, and the processes that may know the leader."""

    # Processes of the settings to ask first.
    seeds: tuple[VoterId, ...]
    leader: VoterId = VoterId('')
    voters: tuple[VoterId, ...] = ()
    next_index: int = field(default=0, init=False)

    def choose(self) -> VoterId:
        """Choose the leader, or else each known process in turn."""
        if self.leader:
            return self.leader
        known = self.get_known_processes()
        if not known:
            return VoterId('')
        self.next_index += 1
        return known[self.next_index % len(known)]

    def get_known_processes(self) -> list[VoterId]:
        """Get the processes that may know the leader, voters first."""
        return list(dict.fromkeys((*self.voters, *self.seeds)))

    def update_leader(self, leader: VoterId, voters: Iterable[VoterId]) -> None:
        """Set the leader and the voters that an answer named."""
        self.leader = leader
        self.voters = tuple(voters) or self.voters

    def set_seeds(self, seeds: tuple[VoterId, ...]) -> None:
        """Replace the seeds of the settings."""
        self.seeds = seeds

    def forget_leader(self, target: VoterId) -> None:
        """Forget the leader if it is the process that did not answer."""
        if self.leader == target:
            self.leader = VoterId('')
