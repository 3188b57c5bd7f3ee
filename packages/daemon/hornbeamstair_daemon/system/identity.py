"""Identity of a disk and the founders that it knows, kept durably."""

import json
import os
from pathlib import Path
from typing import Final
from uuid import uuid4

from attrs import frozen

from hornbeamstair_core.ids import ProcessId
from hornbeamstair_daemon.identity import get_first_voter
from hornbeamstair_replicas.messages import VoterId

__all__ = ('DiskIdentity', 'open_identity')

_FILE_NAME: Final = 'identity'


@frozen
class DiskIdentity:
    """Voter of a disk, and the first voters if it was one of them."""

    voter: VoterId
    founders: tuple[VoterId, ...]


def open_identity(
    process: ProcessId,
    folder: Path,
    seeds: tuple[ProcessId, ...],
    *,
    bootstrap: bool,
) -> DiskIdentity:
    """Read the identity of a disk, or give an empty disk a new one.

    Only an empty disk of a seed at the first start of the system founds
    the group. The founders are written down before any vote counts, since
    the settings may name other seeds later.
    """
    path = folder / _FILE_NAME
    if path.exists():
        fields = json.loads(path.read_text(encoding='utf-8'))
        return DiskIdentity(
            VoterId(fields['voter']),
            tuple(VoterId(found) for found in fields['founders']),
        )
    folder.mkdir(parents=True, exist_ok=True)
    identity = _make_identity(process, seeds, bootstrap=bootstrap)
    _write_durably(path, identity)
    return identity


def _make_identity(
    process: ProcessId,
    seeds: tuple[ProcessId, ...],
    *,
    bootstrap: bool,
) -> DiskIdentity:
    if bootstrap and process in seeds:
        founders = tuple(get_first_voter(seed) for seed in sorted(seeds))
        return DiskIdentity(get_first_voter(process), founders)
    return DiskIdentity(VoterId(f'{process}/{uuid4().hex}'), ())


def _write_durably(path: Path, identity: DiskIdentity) -> None:
    draft = path.with_suffix('.draft')
    fields = {'voter': identity.voter, 'founders': identity.founders}
    with draft.open('w', encoding='utf-8') as target:
        target.write(json.dumps(fields))
        target.flush()
        os.fsync(target.fileno())
    draft.replace(path)
    descriptor = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
