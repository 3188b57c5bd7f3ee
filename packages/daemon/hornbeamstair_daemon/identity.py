"""Identity of a process and of its disk."""

from pathlib import Path
from typing import Final
from uuid import uuid4

from hornbeamstair_core.ids import ProcessId
from hornbeamstair_replicas.messages import VoterId

__all__ = ('BootstrapError', 'get_first_voter', 'get_voter')

_FILE_NAME: Final = 'incarnation'
_FIRST_INCARNATION: Final = '1'


class BootstrapError(Exception):
    """Bootstrap of a data folder that is in use already."""


def get_first_voter(process: ProcessId) -> VoterId:
    """Get the identity of a voter with its first disk."""
    return VoterId(f'{process}/{_FIRST_INCARNATION}')


def get_voter(
    process: ProcessId,
    data_folder: Path,
    *,
    bootstrap: bool,
) -> VoterId:
    """Get the identity of this disk; a new one if it has none.

    Without bootstrap a disk without an identity is a new voter, which must
    be added before it votes. BootstrapError if the disk has an identity.
    """
    path = data_folder / _FILE_NAME
    if path.exists():
        return VoterId(f'{process}/{path.read_text().strip()}')
    data_folder.mkdir(parents=True, exist_ok=True)
    if bootstrap and any(data_folder.iterdir()):
        raise BootstrapError(f'{data_folder} is not empty')
    incarnation = _FIRST_INCARNATION if bootstrap else uuid4().hex
    path.write_text(incarnation)
    return VoterId(f'{process}/{incarnation}')
