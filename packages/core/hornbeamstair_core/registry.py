"""Registry of classes by the number that they declare."""

from typing import ClassVar, Generic, Protocol, TypeVar

from attrs import define, field

__all__ = ('Numbered', 'NumberedRegistry')


class Numbered(Protocol):
    """Class that declares a number, a name and a summary."""

    number: ClassVar[int]
    name: ClassVar[str]
    summary: ClassVar[str]


Member = TypeVar('Member', bound=Numbered)


@define
class NumberedRegistry(Generic[Member]):
    """Registry of one kind of classes, indexed by number."""

    # Kind of the registered classes, for error messages.
    family: str
    members: dict[int, type[Member]] = field(factory=dict)

    def register(self, member: type[Member]) -> None:
        """Add a class; raise ValueError if its number is in use."""
        known = self.members.get(member.number)
        if known is not None and known.__qualname__ != member.__qualname__:
            raise ValueError(
                f'{self.family} {member.number} is used by {known.name!r}',
            )
        self.members[member.number] = member

    def find(self, number: int) -> type[Member] | None:
        """Find the class that declares a number."""
        return self.members.get(number)

    def get_all(self) -> list[type[Member]]:
        """Get the classes ordered by number."""
        return [self.members[number] for number in sorted(self.members)]
