"""Authentication of calls by the keys of the workspaces in force."""

from hashlib import sha256
from typing import Final

from expression import Error, Ok, Result

from hornbeamstair_callers.workspaces.failures import KeyUnknownFailure
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import WorkspaceName
from hornbeamstair_operators.manifest.messages import Queue
from hornbeamstair_operators.manifest.table import ManifestTable

__all__ = ('authenticate', 'get_key_digest', 'read_bearer_digest')

_NO_WORKSPACE: Final = WorkspaceName('')
_SCHEME: Final = 'bearer'


def authenticate(
    manifest: ManifestTable,
    queue: Queue,
    key_digest: str,
) -> Result[WorkspaceName, Failure]:
    """Get the workspace of a call to a queue; empty if it needs none.

    Keys are looked up by their digest, so that the time of the lookup tells
    nothing about them.
    """
    if queue.is_open or not manifest.needs_keys:
        return Ok(_NO_WORKSPACE)
    workspace = manifest.find_workspace(key_digest) if key_digest else None
    if workspace is None:
        return Error(KeyUnknownFailure(manifest.version))
    return Ok(workspace.workspace)


def get_key_digest(key: str) -> str:
    """Get the digest by which a key is stored and sent between processes."""
    return sha256(key.encode(errors='surrogateescape')).hexdigest()


def read_bearer_digest(authorization: str) -> str:
    """Get the digest of the key of an Authorization header, or nothing."""
    scheme, _, key = authorization.partition(' ')
    key = key.strip()
    if scheme.lower() != _SCHEME or not key:
        return ''
    return get_key_digest(key)
