"""Handling of requests about the manifest on the leader."""

from typing import ClassVar

from attrs import define
from expression import Error, Ok, Result

from hornbeamstair_core.committing import Committer
from hornbeamstair_core.events import log_event
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.requests import (
    DoneReply,
    Reply,
    Request,
    RequestHandler,
)
from hornbeamstair_operators.events import (
    ManifestPutEvent,
    WorkspaceKeysChangedEvent,
)
from hornbeamstair_operators.failures import NoManifestFailure
from hornbeamstair_operators.manifest.checks import check_manifest
from hornbeamstair_operators.manifest.messages import Manifest, ManifestPut
from hornbeamstair_operators.manifest.requests import (
    ManifestReply,
    PutManifest,
    ReadManifest,
)
from hornbeamstair_operators.manifest.table import ManifestTable

__all__ = ('ManifestRequestHandler',)


@define(eq=False)
class ManifestRequestHandler(RequestHandler):
    """Handler of the operators' requests about the manifest."""

    requests: ClassVar[tuple[type[Request], ...]] = (
        PutManifest,
        ReadManifest,
    )
    replies: ClassVar[tuple[type[Reply], ...]] = (ManifestReply,)

    table: ManifestTable
    committer: Committer

    async def handle(self, request: Request) -> Result[Reply, Failure]:
        """Handle a request."""
        match request:
            case PutManifest(manifest):
                return await self._put(manifest)
            case ReadManifest():
                return self._read()
        raise TypeError(request)

    async def _put(self, manifest: Manifest) -> Result[Reply, Failure]:
        checked = check_manifest(manifest)
        if checked.is_error():
            return Error(checked.error)
        if manifest.version <= self.table.version:
            # An outdated or resent manifest is accepted without effect.
            return Ok(DoneReply())
        known = frozenset(self.table.workspaces_by_key)
        committed = await self.committer.commit((ManifestPut(manifest),))
        if committed.is_error():
            return Error(committed.error)
        log_event(
            ManifestPutEvent(
                manifest.version,
                len(manifest.queues),
                self.table.version,
            ),
        )
        self._log_keys(known)
        return Ok(DoneReply())

    def _log_keys(self, known: frozenset[str]) -> None:
        """Log how many keys came and went since some were in force."""
        keys = self.table.workspaces_by_key.keys()
        added, withdrawn = len(keys - known), len(known - keys)
        if added or withdrawn:
            log_event(
                WorkspaceKeysChangedEvent(
                    self.table.version,
                    len(self.table.workspaces),
                    added,
                    withdrawn,
                ),
            )

    def _read(self) -> Result[Reply, Failure]:
        manifest = self.table.manifest
        if manifest is None:
            return Error(NoManifestFailure())
        return Ok(ManifestReply(manifest.version, manifest.document))
