"""Encoding of changes and of the control state as CBOR."""

from typing import Final

from attrs import frozen

from hornbeamstair_core.codec import make_union_converter
from hornbeamstair_core.ids import RequestId
from hornbeamstair_fleet.messages import Pool
from hornbeamstair_operators.changes.base import Change, ChangeRequest
from hornbeamstair_operators.changes.contract import (
    ApplyContractChange,
    RemoveContractChange,
)
from hornbeamstair_operators.changes.pool import DeclarePoolChange
from hornbeamstair_operators.messages import ChangeAnswer, Contract
from hornbeamstair_operators.state import ControlState, SubjectRevision

__all__ = (
    'decode_change_request',
    'decode_control_state',
    'encode_control_state',
    'encode_change_request',
)


@frozen
class _StoredState:
    """Control state in the form that snapshots store."""

    revision: int
    contracts: list[Contract]
    pools: list[Pool]
    subjects: dict[str, SubjectRevision]
    answers: list[ChangeAnswer]


_converter: Final = make_union_converter(
    Change,
    (ApplyContractChange, RemoveContractChange, DeclarePoolChange),
)


def decode_change_request(payload: bytes) -> ChangeRequest:
    """Decode a change request of the replicated log."""
    return _converter.loads(payload, ChangeRequest)


def encode_change_request(request: ChangeRequest) -> bytes:
    """Encode a change request for the replicated log."""
    return _converter.dumps(request, unstructure_as=ChangeRequest)


def decode_control_state(payload: bytes) -> ControlState:
    """Decode the control state of a snapshot."""
    stored = _converter.loads(payload, _StoredState)
    state = ControlState(revision=stored.revision, subjects=stored.subjects)
    for contract in stored.contracts:
        state.tables.contracts[contract.customer] = contract
    for pool in stored.pools:
        state.tables.pools.declare(pool)
    for answer in stored.answers:
        state.answers[RequestId(answer.request_id)] = answer
    return state


def encode_control_state(state: ControlState) -> bytes:
    """Encode the control state for a snapshot."""
    stored = _StoredState(
        revision=state.revision,
        contracts=list(state.tables.contracts.values()),
        pools=list(state.tables.pools.pools.values()),
        subjects=state.subjects,
        answers=list(state.answers.values()),
    )
    return _converter.dumps(stored)
