"""Access of callers to the queues of the manifest in force."""

from attrs import frozen
from expression import Error, Result

from hornbeamstair_callers.jobs.failures import QueueUnknownFailure
from hornbeamstair_callers.jobs.requests import QueueAddress
from hornbeamstair_callers.workspaces.authentication import authenticate
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import WorkspaceName
from hornbeamstair_operators.failures import NoManifestFailure
from hornbeamstair_operators.manifest.messages import Queue
from hornbeamstair_operators.manifest.table import ManifestTable

__all__ = ('QueueAccess', 'find_access')


@frozen
class QueueAccess:
    """Queue that a call addresses, and the workspace of its caller."""

    queue: Queue
    # Empty for a call to an open queue.
    workspace: WorkspaceName

    def may_access(self, owner: WorkspaceName) -> bool:
        """Return whether the caller may read and cancel jobs of an owner.

        Jobs that were accepted through an open queue, or before there were
        workspaces, have no owner.
        """
        return not owner or not self.workspace or self.workspace == owner


def find_access(
    manifest: ManifestTable,
    place: QueueAddress,
) -> Result[QueueAccess, Failure]:
    """Find the queue of a call and authenticate its caller."""
    if manifest.manifest is None:
        return Error(NoManifestFailure())
    queue = manifest.find_queue(place.host, place.path)
    if queue is None:
        return Error(
            QueueUnknownFailure(place.host, place.path, manifest.version),
        )
    workspace = authenticate(manifest, queue, place.key_digest)
    return workspace.map(lambda name: QueueAccess(queue, name))
