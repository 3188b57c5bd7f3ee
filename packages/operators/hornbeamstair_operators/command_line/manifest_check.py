"""Command that checks a manifest before it is sent."""

from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Final

from attrs import evolve
from typer import Argument, Context, Exit, Option, echo

from hornbeamstair_operators.command_line.session import (
    EXIT_REFUSED,
    EXIT_USAGE,
    Session,
)
from hornbeamstair_operators.manifest.comparison import compare_manifests
from hornbeamstair_operators.manifest.documents import (
    ManifestDocument,
    read_manifest_document,
)
from hornbeamstair_operators.manifest.findings import Finding, Severity
from hornbeamstair_operators.manifest.messages import Manifest
from hornbeamstair_operators.manifest.review import review_manifest

__all__ = ('check_manifest_file',)

_COLUMNS: Final = ('line', 'severity', 'path', 'reason')
# Findings of an invalid or contradictory manifest.
_FAILING: Final = frozenset((Severity.error, Severity.contradiction))


def check_manifest_file(
    context: Context,
    path: Annotated[Path, Argument(help='Manifest in YAML.')],
    against: Annotated[
        Path | None,
        Option(help='Manifest in force, to list what differs.'),
    ] = None,
) -> None:
    """Check a manifest without sending it.

    Exit code 0 if it may be sent, 1 if it has errors or contradictory
    limits, 2 if a file cannot be read.
    """
    session: Session = context.obj
    document = _read_document(path)
    findings = [*document.findings, *_find_in(document.manifest)]
    if against is not None and document.manifest is not None:
        in_force = _read_document(against).manifest
        if in_force is None:
            echo(f'{against}: is not a valid manifest', err=True)
            raise Exit(EXIT_USAGE)
        findings.extend(compare_manifests(document.manifest, in_force))
    findings.sort(key=lambda finding: finding.severity)
    _print_findings(session, document, findings)
    if any(finding.severity in _FAILING for finding in findings):
        raise Exit(EXIT_REFUSED)


def _find_in(manifest: Manifest | None) -> list[Finding]:
    return [] if manifest is None else list(review_manifest(manifest))


def _read_document(path: Path) -> ManifestDocument:
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        echo(f'{path}: {error}', err=True)
        raise Exit(EXIT_USAGE) from error
    document = read_manifest_document(text)
    if document.is_error():
        echo(f'{path}: {document.error.describe()}', err=True)
        raise Exit(EXIT_USAGE)
    return document.ok


def _print_findings(
    session: Session,
    document: ManifestDocument,
    findings: Iterable[Finding],
) -> None:
    located = [
        evolve(finding, line=document.find_line(finding.path))
        for finding in findings
    ]
    rows = [
        {
            'line': finding.line,
            'severity': finding.severity.name,
            'path': finding.path,
            'reason': finding.reason,
        }
        for finding in located
    ]
    session.output.print_table(rows, _COLUMNS)
