"""Failures of operators' requests."""

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
    """Request for a contract or another object that does not exist."""

    number = 4001
    name = 'not_found'
    summary = 'The requested object does not exist.'
    http_status = 404

    kind: str
    wanted: str


@register_failure
@frozen
class RevisionConflictFailure(Failure):
    """Change whose expected revision is no longer the current one.

    The field `winner` is the id of the request that set the current revision.
    """

    number = 4002
    name = 'revision_conflict'
    summary = 'Another change of the subject was accepted first.'
    http_status = 409

    subject: str
    expected_revision: int
    current_revision: int
    winner: str


@register_failure
@frozen
class OverPromiseFailure(Failure):
    """Contracts that promise more slots than a pool can guarantee.

    The field `lost_domain` is the rack whose failure is assumed.
    """

    number = 4003
    name = 'over_promise'
    summary = 'The contracts promise more slots than a pool can guarantee.'
    http_status = 409

    service: str
    promised_slots: int
    available_slots: int
    lost_domain: str


@register_failure
@frozen
class UnauthorizedFailure(Failure):
    """Operators' request without the token that the settings require."""

    number = 4004
    name = 'unauthorized'
    summary = 'The bearer token is missing or wrong.'
    http_status = 401


@register_failure
@frozen
class InvalidManifestFailure(Failure):
    """Manifest that failed a check and was not committed."""

    number = 4005
    name = 'invalid_manifest'
    summary = 'The manifest is not valid; nothing was changed.'

    version: int
    reason: str


@register_failure
@frozen
class NoManifestFailure(Failure):
    """Request that needs a manifest while none is in force."""

    number = 4006
    name = 'no_manifest'
    summary = 'No manifest was accepted yet.'
    http_status = 503
