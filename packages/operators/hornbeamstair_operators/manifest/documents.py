"""Manifests as YAML documents, with the lines of their fields."""

import re
from typing import Any, Final

from attrs import fields_dict, frozen
from cattrs import BaseValidationError, transform_error
from expression import Error, Ok, Result
from yaml import MappingNode, Node, SequenceNode, YAMLError, compose

from hornbeamstair_core.codec import decode_yaml_mapping, json_converter
from hornbeamstair_core.failures import Failure
from hornbeamstair_operators.manifest.findings import Finding, Severity
from hornbeamstair_operators.manifest.messages import (
    Manifest,
    Queue,
    WorkService,
    Workspace,
)

__all__ = ('ManifestDocument', 'read_manifest_document')

_STEP_PATTERN: Final = re.compile(r'([a-z_]+)|\[(\d+)\]')
# Marks the path at the end of a message of cattrs.
_PATH_MARK: Final = ' @ $.'
_ENTRY_CLASSES: Final[tuple[tuple[str, type[Any]], ...]] = (
    ('queues', Queue),
    ('services', WorkService),
    ('workspaces', Workspace),
)


@frozen
class ManifestDocument:
    """Decoded document: a manifest, or the reasons why there is none."""

    manifest: Manifest | None
    findings: tuple[Finding, ...]
    root: Node | None

    def find_line(self, path: str) -> int:
        """Find the line of a field, or of the closest entry around it."""
        line = 0
        node = self.root
        for name, number in _STEP_PATTERN.findall(path):
            label, node = _find_nested(node, name, number)
            if label is None:
                break
            line = label.start_mark.line + 1
        return line


def read_manifest_document(text: str) -> Result[ManifestDocument, Failure]:
    """Read a manifest; a failure means that the text is no YAML mapping."""
    mapping = decode_yaml_mapping(text)
    if mapping.is_error():
        return Error(mapping.error)
    unknown = tuple(_find_unknown(mapping.ok))
    try:
        manifest = json_converter.structure(mapping.ok, Manifest)
    except BaseValidationError as error:
        invalid = tuple(map(_make_finding, transform_error(error)))
        return Ok(ManifestDocument(None, invalid + unknown, _compose(text)))
    return Ok(ManifestDocument(manifest, unknown, _compose(text)))


def _find_unknown(mapping: dict[str, Any]) -> list[Finding]:
    """Find fields that are ignored, which are often misspelt."""
    found = _find_unknown_fields('', mapping, Manifest)
    for field, entry_class in _ENTRY_CLASSES:
        entries = mapping.get(field)
        for at, entry in enumerate(entries if entries else ()):
            path = f'{field}[{at}].'
            found.extend(_find_unknown_fields(path, entry, entry_class))
    return found


def _find_unknown_fields(
    path: str,
    entry: object,
    entry_class: type[Any],
) -> list[Finding]:
    if not isinstance(entry, dict):
        return []
    return [
        Finding(Severity.unmatched, f'{path}{name}', 'no field has this name')
        for name in entry
        if name not in fields_dict(entry_class)
    ]


def _make_finding(message: str) -> Finding:
    reason, _, path = message.partition(_PATH_MARK)
    return Finding(Severity.error, path, reason)


def _compose(text: str) -> Node | None:
    try:
        return compose(text)
    except YAMLError:
        return None


def _find_nested(
    node: Node | None,
    name: str,
    number: str,
) -> tuple[Node | None, Node | None]:
    """Find the node that names an entry, and the node of the entry."""
    if name and isinstance(node, MappingNode):
        named = [pair for pair in node.value if pair[0].value == name]
        return named[0] if named else (None, None)
    if number and isinstance(node, SequenceNode):
        nested = node.value[int(number) :]
        return (nested[0], nested[0]) if nested else (None, None)
    return None, None
