"""Codecs of attrs messages as CBOR, JSON and YAML, shared by all packages."""

import json
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, Final, TypeVar

import cbor2
from cattrs.preconf.cbor2 import Cbor2Converter
from cattrs.preconf.cbor2 import make_converter as make_cbor_converter
from cattrs.preconf.json import make_converter as make_json_converter
from cattrs.strategies import configure_tagged_union, include_subclasses
from expression import Error, Ok, Result
from yaml import YAMLError, safe_load

from hornbeamstair_core.failures import (
    Failure,
    InvalidFieldFailure,
    UnreadablePayloadFailure,
)
from hornbeamstair_core.options import OptionsError, OptionsReader

__all__ = (
    'json_converter',
    'make_union_converter',
    'decode_cbor',
    'decode_json_mapping',
    'read_message',
    'decode_yaml_mapping',
    'encode_cbor',
    'encode_failure',
)

Message = TypeVar('Message')


def _structure_text(found: object, _: object) -> str:
    """Refuse other types, and texts that cannot be encoded as UTF-8."""
    if not isinstance(found, str):
        raise TypeError('must be a string')
    found.encode()
    return found


json_converter: Final = make_json_converter()
json_converter.register_structure_hook(str, _structure_text)


def make_union_converter(
    base_class: type[object],
    members: tuple[type[object], ...],
) -> Cbor2Converter:
    """Make a CBOR converter for a tagged union.

    The members are subclasses of the base class, tagged with their kind.
    """
    converter = make_cbor_converter()
    include_subclasses(
        base_class,
        converter,
        subclasses=members,
        union_strategy=partial(
            configure_tagged_union,
            tag_name='kind',
            tag_generator=_get_kind,
        ),
    )
    return converter


def decode_cbor(payload: bytes) -> Any:
    """Decode a CBOR item; raise ValueError if it is malformed."""
    try:
        return cbor2.loads(payload)
    except (cbor2.CBORDecodeError, RecursionError) as error:
        raise ValueError('not a CBOR item') from error


def encode_cbor(message: object) -> bytes:
    """Encode a structure of plain types as CBOR."""
    return cbor2.dumps(message)


def decode_json_mapping(payload: bytes) -> Result[dict[str, Any], Failure]:
    """Decode a JSON object."""
    try:
        decoded = json.loads(payload)
    except (ValueError, RecursionError) as error:
        return Error(UnreadablePayloadFailure(reason=f'not JSON: {error}'))
    return _check_mapping(decoded)


def decode_yaml_mapping(text: str | bytes) -> Result[dict[str, Any], Failure]:
    """Decode a YAML mapping."""
    try:
        decoded = safe_load(text)
    except (YAMLError, ValueError, RecursionError) as error:
        return Error(UnreadablePayloadFailure(reason=f'not YAML: {error}'))
    return _check_mapping(decoded)


def read_message(
    options: Mapping[str, Any],
    read_options: Callable[[OptionsReader], Message],
) -> Result[Message, Failure]:
    """Read a message from options; the failure names every invalid field."""
    reader = OptionsReader(options)
    message = read_options(reader)
    reader.check_unknown()
    try:
        reader.raise_problems()
    except OptionsError as error:
        return Error(_get_options_failure(error))
    return Ok(message)


def encode_failure(failure: Failure) -> dict[str, object]:
    """Encode a failure as the JSON object that clients receive."""
    return {
        'code': failure.number,
        'name': failure.name,
        'message': failure.describe(),
        'may_have_run': failure.may_have_run,
        'details': json_converter.unstructure(failure),
    }


def _check_mapping(decoded: object) -> Result[dict[str, Any], Failure]:
    if not isinstance(decoded, dict):
        return Error(UnreadablePayloadFailure(reason='not a mapping'))
    return Ok({str(name): nested for name, nested in decoded.items()})


def _get_options_failure(error: OptionsError) -> Failure:
    return InvalidFieldFailure(
        field=', '.join(problem.path for problem in error.problems),
        reason=str(error),
    )


def _get_kind(member: Any) -> str:
    # The abstract base is a member of the union but declares no kind.
    return str(getattr(member, 'kind', ''))
