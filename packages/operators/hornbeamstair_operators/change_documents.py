"""Decoding and validation of change requests."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from expression import Result

from hornbeamstair_core.codec import read_message
from hornbeamstair_core.failures import Failure
from hornbeamstair_core.ids import CustomerId, RequestId
from hornbeamstair_core.options import OptionsReader
from hornbeamstair_operators.changes.base import Change, ChangeRequest
from hornbeamstair_operators.changes.contract import (
    ApplyContractChange,
    RemoveContractChange,
)
from hornbeamstair_operators.changes.pool import DeclarePoolChange
from hornbeamstair_operators.documents import (
    decode_contract_options,
    decode_pool_options,
)
from hornbeamstair_replicas.admin_messages import VoterAction
from hornbeamstair_replicas.messages import VoterId

__all__ = ('decode_voter_change', 'decode_change_document')

# Largest integer that a JSON number represents exactly: 2**53 - 1.
_MAX_REVISION: Final = 9007199254740991


def decode_change_document(
    options: Mapping[str, Any],
) -> Result[ChangeRequest, Failure]:
    """Decode a change request; the failure names every invalid field."""
    return read_message(options, _decode_change_request)


def decode_voter_change(
    options: Mapping[str, Any],
) -> Result[tuple[VoterAction, VoterId], Failure]:
    """Decode a change of the voters; the failure names every invalid field."""
    return read_message(options, _decode_voter_change)


def _decode_voter_change(reader: OptionsReader) -> tuple[VoterAction, VoterId]:
    actions = tuple(member.value for member in VoterAction)
    action = VoterAction(reader.get_choice_opt('action', actions))
    return action, VoterId(reader.get_str_opt('voter'))


def _decode_change_request(reader: OptionsReader) -> ChangeRequest:
    expected_revision = reader.get_int_opt(
        'expected_revision',
        -1,
        _MAX_REVISION,
        -1,
    )
    request = ChangeRequest(
        request_id=RequestId(reader.get_name_opt('request_id')),
        expected_revision=None if expected_revision < 0 else expected_revision,
        change=_decode_change(reader.get_section('change')),
    )
    reader.check_unknown()
    return request


def _decode_change(reader: OptionsReader) -> Change:
    kind = reader.get_choice_opt('kind', tuple(_CHANGE_DECODERS))
    change = _CHANGE_DECODERS[kind](reader)
    reader.check_unknown()
    return change


def _decode_apply_contract(reader: OptionsReader) -> Change:
    return ApplyContractChange(
        decode_contract_options(reader.get_section('contract'))
    )


def _decode_remove_contract(reader: OptionsReader) -> Change:
    return RemoveContractChange(CustomerId(reader.get_name_opt('customer')))


def _decode_declare_pool(reader: OptionsReader) -> Change:
    return DeclarePoolChange(decode_pool_options(reader.get_section('pool')))


_CHANGE_DECODERS: Final = MappingProxyType(
    {
        ApplyContractChange.kind: _decode_apply_contract,
        RemoveContractChange.kind: _decode_remove_contract,
        DeclarePoolChange.kind: _decode_declare_pool,
    }
)
