"""Voter identity of a data folder and the initial voters that it knows."""

import json
import os
from pathlib import Path
from typing import Final
from uuid import uuid4

from attrs import frozen

from hornbeamstair_core.ids import ProcessId
from hornbeamstair_daemon.identity import get_initial_voter
from hornbeamstair_replicas.messages import VoterId

__all__ = ('VoterIdentity', 'open_identity')

_FILE_NAME: Final = 'identity'


@frozen
class VoterIdentity:
    """Voter of a data folder; all initial voters if it is one of them."""

    voter: VoterId
    # Initial voters; named as the key in the file.
    founders: tuple[VoterId, ...]


def open_identity(
    process: ProcessId,
    data_folder: Path,
    seeds: tuple[ProcessId, ...],
    *,
    bootstrap: bool,
) -> VoterIdentity:
    """Read the identity in the data folder, or create and store one.

    A process becomes an initial voter only if it is a seed, has no identity
    yet and the system starts for the first time. The initial voters are
    stored before the first vote, since the settings may name other seeds
    later.
    """
    path = data_folder / _FILE_NAME
    if path.exists():
        fields = json.loads(path.read_text(encoding='utf-8'))
        return VoterIdentity(
            VoterId(fields['voter']),
            tuple(VoterId(voter) for voter in fields['founders']),
        )
    data_folder.mkdir(parents=True, exist_ok=True)
    identity = _make_identity(process, seeds, bootstrap=bootstrap)
    _write_durably(path, identity)
    return identity


def _make_identity(
    process: ProcessId,
    seeds: tuple[ProcessId, ...],
    *,
    bootstrap: bool,
) -> VoterIdentity:
    if bootstrap and process in seeds:
        initial_voters = tuple(
            get_initial_voter(seed) for seed in sorted(seeds)
        )
        return VoterIdentity(get_initial_voter(process), initial_voters)
    return VoterIdentity(VoterId(f'{process}/{uuid4().hex}'), ())


def _write_durably(path: Path, identity: VoterIdentity) -> None:
    temporary = path.with_suffix('.draft')
    fields = {'voter': identity.voter, 'founders': identity.founders}
    with temporary.open('w', encoding='utf-8') as target:
        target.write(json.dumps(fields))
        target.flush()
        os.fsync(target.fileno())
    temporary.replace(path)
    descriptor = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
