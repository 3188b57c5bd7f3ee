"""Choice of the process that a call to the leader is sent to."""

from collections.abc import Iterable

from attrs import define, field

from hornbeamstair_replicas.messages import VoterId

__all__ = ('LeaderTargets',)


@define(eq=False)
class LeaderTargets:
    """Leader as far as known, and the processes that may know it."""

    contacts: tuple[VoterId, ...]
    leader: VoterId = VoterId('')
    learned: tuple[VoterId, ...] = ()
    position: int = field(default=0, init=False)

    def choose(self) -> VoterId:
        """Choose the process to call next."""
        if self.leader:
            return self.leader
        known = self.get_known()
        if not known:
            return VoterId('')
        self.position += 1
        return known[self.position % len(known)]

    def get_known(self) -> list[VoterId]:
        """Get every process that may know the leader."""
        return list(dict.fromkeys((*self.learned, *self.contacts)))

    def note(self, leader: VoterId, voters: Iterable[VoterId]) -> None:
        """Note what a voter told."""
        self.leader = leader
        self.learned = tuple(voters) or self.learned

    def put_contacts(self, contacts: tuple[VoterId, ...]) -> None:
        """Replace the contacts of the settings."""
        self.contacts = contacts

    def doubt(self, target: VoterId) -> None:
        """Forget the leader if it is the process that did not answer."""
        if self.leader == target:
            self.leader = VoterId('')
