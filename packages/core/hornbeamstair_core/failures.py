"""Numbered result codes: the base class, its registry and shared members."""

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
    """Reason why a request was not carried out as asked."""

    number: ClassVar[int]
    name: ClassVar[str]
    summary: ClassVar[str]
    http_status: ClassVar[int] = 400
    may_have_run: ClassVar[bool] = False

    def describe(self) -> str:
        """Describe this failure in one sentence for people."""
        named_fields = asdict(self).items()
        details = ', '.join(f'{name}: {text}' for name, text in named_fields)
        return f'{self.summary} ({details})' if details else self.summary


FailureClass = TypeVar('FailureClass', bound=type[Failure])
_registry: Final = NumberedRegistry[Failure](family='result code')


def register_failure(failure_class: FailureClass) -> FailureClass:
    """Add a failure class to the table of result codes."""
    _registry.register(failure_class)
    return failure_class


def find_failure(number: int) -> type[Failure] | None:
    """Find the failure class of a result code."""
    return _registry.find(number)


def get_failures() -> list[type[Failure]]:
    """Get the failure classes in the order of their codes."""
    return _registry.get_all()


@register_failure
@frozen
class InvalidFieldFailure(Failure):
    """Field of a message that breaks its rule."""

    number = 1001
    name = 'invalid_field'
    summary = 'A field is missing, unknown or out of range.'

    field: str
    reason: str


@register_failure
@frozen
class UnreadablePayloadFailure(Failure):
    """Payload that is not well-formed JSON, YAML or CBOR."""

    number = 1002
    name = 'unreadable_payload'
    summary = 'The payload is not well formed.'

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
    """Fault of the program itself."""

    number = 1005
    name = 'internal_error'
    summary = 'The program met an internal error.'
    http_status = 500
    may_have_run = True

    reason: str
