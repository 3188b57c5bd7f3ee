"""Reading of the changes that operators ask for."""

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
    read_contract_options,
    read_pool_options,
)
from hornbeamstair_replicas.admin_messages import VoterAction
from hornbeamstair_replicas.messages import VoterId

__all__ = ('read_change_document', 'read_voter_change')

_MAX_REVISION: Final = 9007199254740991


def read_change_document(
    options: Mapping[str, Any],
) -> Result[ChangeRequest, Failure]:
    """Read a change request, naming every field that breaks its rule."""
    return read_message(options, _read_change_request)


def read_voter_change(
    options: Mapping[str, Any],
) -> Result[tuple[VoterAction, VoterId], Failure]:
    """Read a change of the voters, naming every field that is wrong."""
    return read_message(options, _read_voter_change)


def _read_voter_change(reader: OptionsReader) -> tuple[VoterAction, VoterId]:
    names = tuple(member.value for member in VoterAction)
    action = VoterAction(reader.get_choice_opt('action', names))
    return action, VoterId(reader.get_str_opt('voter'))


def _read_change_request(reader: OptionsReader) -> ChangeRequest:
    expected_revision = reader.get_int_opt(
        'expected_revision',
        -1,
        _MAX_REVISION,
        -1,
    )
    request = ChangeRequest(
        request_id=RequestId(reader.get_name_opt('request_id')),
        expected_revision=None if expected_revision < 0 else expected_revision,
        change=_read_change(reader.get_section('change')),
    )
    reader.check_unknown()
    return request


def _read_change(reader: OptionsReader) -> Change:
    kind = reader.get_choice_opt('kind', tuple(_CHANGE_READERS))
    change = _CHANGE_READERS[kind](reader)
    reader.check_unknown()
    return change


def _read_apply_contract(reader: OptionsReader) -> Change:
    return ApplyContractChange(
        read_contract_options(reader.get_section('contract'))
    )


def _read_remove_contract(reader: OptionsReader) -> Change:
    return RemoveContractChange(CustomerId(reader.get_name_opt('customer')))


def _read_declare_pool(reader: OptionsReader) -> Change:
    return DeclarePoolChange(read_pool_options(reader.get_section('pool')))


_CHANGE_READERS: Final = MappingProxyType(
    {
        ApplyContractChange.kind: _read_apply_contract,
        RemoveContractChange.kind: _read_remove_contract,
        DeclarePoolChange.kind: _read_declare_pool,
    }
)
