"""Recovery of a system of which only one voter's disk is left."""

from hornbeamstair_daemon.identity import get_voter
from hornbeamstair_daemon.settings import Settings
from hornbeamstair_replicas.messages import EntryKind, Snapshot, VoterId
from hornbeamstair_replicas.state_machine import StateMachine
from hornbeamstair_replicas.storage.file import FileLogStorage

__all__ = ('recover_alone',)


def recover_alone(
    settings: Settings,
    machines: dict[str, StateMachine],
) -> None:
    """Make this process the sole voter of the groups on its disk.

    Everything on the disk counts as committed. The other voters must never
    come back with their old disks.
    """
    own = get_voter(settings.process, settings.data_folder, bootstrap=False)
    for group, machine in machines.items():
        storage = FileLogStorage(settings.data_folder / group)
        _recover(storage, machine, own)
        storage.close()


def _recover(
    storage: FileLogStorage,
    machine: StateMachine,
    own: VoterId,
) -> None:
    tail = storage.load()
    index, term = 0, tail.vote.term
    if tail.snapshot is not None:
        machine.restore(tail.snapshot.state)
        index = tail.snapshot.index
    for entry in tail.entries:
        index = entry.index
        if entry.kind == EntryKind.payload:
            machine.apply(entry.index, entry.payload)
    state = machine.get_snapshot()
    storage.write_snapshot(Snapshot(index, term, state, (own,)))
