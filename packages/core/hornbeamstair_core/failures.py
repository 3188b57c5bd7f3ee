"""Numbered result codes: base class, registry and common failures."""

from abc import ABC
from typing import ClassVar, Final, TypeVar

from attrs import asdict, frozen

from hornbeamstair_core.registry import NumberedRegistry

__all__ = (
    'Failure',
    'InternalFailure',
    'InvalidFieldFailure',
    'PayloadTooLargeFailure',
    'StoppingFailure',
    'UnreadablePayloadFailure',
    'find_failure',
    'get_failures',
    'register_failure',
)


@frozen
class Failure(ABC):
    """Reason why a request failed, identified by its result code."""

    number: ClassVar[int]
    name: ClassVar[str]
    summary: ClassVar[str]
    http_status: ClassVar[int] = 400
    may_have_run: ClassVar[bool] = False

    def describe(self) -> str:
        """Describe this failure as human-readable text."""
        named_fields = asdict(self).items()
        details = ', '.join(f'{name}: {text}' for name, text in named_fields)
        return f'{self.summary} ({details})' if details else self.summary


FailureClass = TypeVar('FailureClass', bound=type[Failure])
_registry: Final = NumberedRegistry[Failure](family='result code')


def register_failure(failure_class: FailureClass) -> FailureClass:
    """Add a failure class to the registry of result codes."""
    _registry.register(failure_class)
    return failure_class


def find_failure(number: int) -> type[Failure] | None:
    """Find the failure class of a result code."""
    return _registry.find(number)


def get_failures() -> list[type[Failure]]:
    """Get the failure classes ordered by result code."""
    return _registry.get_all()


@register_failure
@frozen
class InvalidFieldFailure(Failure):
    """Missing, unknown or invalid field of a message."""

    number = 1001
    name = 'invalid_field'
    summary = 'A field is missing, unknown or out of range.'

    field: str
    reason: str


@register_failure
@frozen
class UnreadablePayloadFailure(Failure):
    """Payload that is malformed JSON, YAML or CBOR."""

    number = 1002
    name = 'unreadable_payload'
    summary = 'The payload is malformed.'

    reason: str


@register_failure
@frozen
class PayloadTooLargeFailure(Failure):
    """Payload that exceeds its size limit."""

    number = 1003
    name = 'payload_too_large'
    summary = 'The payload exceeds its size limit.'
    http_status = 413

    limit_bytes: int


@register_failure
@frozen
class StoppingFailure(Failure):
    """Request that arrived while the process stops."""

    number = 1004
    name = 'stopping'
    summary = 'The process is stopping and takes no new requests.'
    http_status = 503


@register_failure
@frozen
class InternalFailure(Failure):
    """Bug in the program."""

    number = 1005
    name = 'internal_error'
    summary = 'An internal error occurred.'
    http_status = 500
    may_have_run = True

    reason: str
