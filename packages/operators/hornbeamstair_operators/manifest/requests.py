"""Requests about the manifest."""

from typing import ClassVar

from attrs import frozen

from hornbeamstair_core.requests import Reply, Request
from hornbeamstair_operators.manifest.messages import Manifest

__all__ = ('ManifestReply', 'PutManifest', 'ReadManifest')


@frozen
class PutManifest(Request):
    """Request to put a manifest in force if its version is the highest."""

    kind: ClassVar[str] = 'put_manifest'

    manifest: Manifest


@frozen
class ReadManifest(Request):
    """Request for the manifest in force."""

    kind: ClassVar[str] = 'read_manifest'
    is_read: ClassVar[bool] = True


@frozen
class ManifestReply(Reply):
    """Document of the manifest in force, as it was received."""

    kind: ClassVar[str] = 'manifest'

    version: int
    document: bytes
