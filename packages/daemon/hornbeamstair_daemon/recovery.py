"""Recovery of a system when only one voter's data folder is left."""

from hornbeamstair_daemon.identity import get_or_create_voter
from hornbeamstair_daemon.settings import Settings
from hornbeamstair_replicas.messages import EntryKind, Snapshot, VoterId
from hornbeamstair_replicas.state_machine import StateMachine
from hornbeamstair_replicas.storage.file import FileLogStorage

__all__ = ('recover_sole_voter',)


def recover_sole_voter(
    settings: Settings,
    state_machines: dict[str, StateMachine],
) -> None:
    """Make this process the sole voter of the groups in its data folder.

    All log entries in the data folder are treated as committed. The other
    voters must never rejoin with their previous data folders.
    """
    own = get_or_create_voter(
        settings.process, settings.data_folder, bootstrap=False
    )
    for group, state_machine in state_machines.items():
        storage = FileLogStorage(settings.data_folder / group)
        _rewrite_as_sole_voter(storage, state_machine, own)
        storage.close()


def _rewrite_as_sole_voter(
    storage: FileLogStorage,
    state_machine: StateMachine,
    own: VoterId,
) -> None:
    stored = storage.load()
    index, term = 0, stored.vote.term
    if stored.snapshot is not None:
        state_machine.restore(stored.snapshot.state)
        index = stored.snapshot.index
    for entry in stored.entries:
        index = entry.index
        if entry.kind == EntryKind.payload:
            state_machine.apply(entry.index, entry.payload)
    state = state_machine.get_snapshot()
    storage.write_snapshot(Snapshot(index, term, state, (own,)))
