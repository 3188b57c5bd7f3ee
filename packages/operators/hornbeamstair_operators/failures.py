"""Result codes of operators' requests."""

from attrs import frozen

from hornbeamstair_core.failures import Failure, register_failure

__all__ = (
    'InvalidManifestFailure',
    'NoManifestFailure',
    'NotFoundFailure',
    'OverPromiseFailure',
    'RevisionConflictFailure',
    'UnauthorizedFailure',
)


@register_failure
@frozen
class NotFoundFailure(Failure):
    """Contract, pool or route that does not exist."""

    number = 4001
    name = 'not_found'
    summary = 'What was asked for does not exist.'
    http_status = 404

    kind: str
    wanted: str


@register_failure
@frozen
class RevisionConflictFailure(Failure):
    """Change that expected a revision which another change replaced."""

    number = 4002
    name = 'revision_conflict'
    summary = 'Another change was accepted first.'
    http_status = 409

    subject: str
    expected_revision: int
    current_revision: int
    winner: str


@register_failure
@frozen
class OverPromiseFailure(Failure):
    """Contracts that together promise more than the pools hold."""

    number = 4003
    name = 'over_promise'
    summary = 'The contracts would promise more than the pools hold.'
    http_status = 409

    service: str
    promised_slots: int
    available_slots: int
    lost_domain: str


@register_failure
@frozen
class UnauthorizedFailure(Failure):
    """Operators' request without the credential of the settings."""

    number = 4004
    name = 'unauthorized'
    summary = 'The credential is missing or wrong.'
    http_status = 401


@register_failure
@frozen
class InvalidManifestFailure(Failure):
    """Manifest that breaks a rule and changes nothing."""

    number = 4005
    name = 'invalid_manifest'
    summary = 'The manifest is not valid; nothing was changed.'

    version: int
    reason: str


@register_failure
@frozen
class NoManifestFailure(Failure):
    """Request that needs a manifest before there is one."""

    number = 4006
    name = 'no_manifest'
    summary = 'No manifest was accepted yet.'
    http_status = 503
