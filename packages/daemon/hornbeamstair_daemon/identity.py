"""Voter identity of a process, stored in its data folder."""

from pathlib import Path
from typing import Final
from uuid import uuid4

from hornbeamstair_core.ids import ProcessId
from hornbeamstair_replicas.messages import VoterId

__all__ = ('BootstrapError', 'get_initial_voter', 'get_or_create_voter')

_FILE_NAME: Final = 'incarnation'
_INITIAL_INCARNATION: Final = '1'


class BootstrapError(Exception):
    """Bootstrap of a data folder without an identity that is not empty."""


def get_initial_voter(process: ProcessId) -> VoterId:
    """Get the identity of a process as an initial voter."""
    return VoterId(f'{process}/{_INITIAL_INCARNATION}')


def get_or_create_voter(
    process: ProcessId,
    data_folder: Path,
    *,
    bootstrap: bool,
) -> VoterId:
    """Read the identity in the data folder, or create one.

    Without bootstrap, a data folder without an identity gets a random one:
    operators must add this voter before it may vote. BootstrapError if a
    data folder to bootstrap has no identity but is not empty.
    """
    path = data_folder / _FILE_NAME
    if path.exists():
        return VoterId(f'{process}/{path.read_text().strip()}')
    data_folder.mkdir(parents=True, exist_ok=True)
    if bootstrap and any(data_folder.iterdir()):
        raise BootstrapError(f'{data_folder} is not empty')
    incarnation = _INITIAL_INCARNATION if bootstrap else uuid4().hex
    path.write_text(incarnation)
    return VoterId(f'{process}/{incarnation}')
