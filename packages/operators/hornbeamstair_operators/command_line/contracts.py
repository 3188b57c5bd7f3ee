"""Commands on contracts."""

from pathlib import Path
from typing import Annotated, Final

from typer import Argument, Context, Typer

from hornbeamstair_operators.changes.contract import (
    ApplyContractChange,
    RemoveContractChange,
)
from hornbeamstair_operators.command_line.options import (
    ExpectedRevision,
    RequestIdOption,
    WaitOption,
    get_request_id,
)
from hornbeamstair_operators.command_line.session import Session
from hornbeamstair_operators.command_line.voters import wait_until_in_force

__all__ = ('contract_app',)

_COLUMNS: Final = (
    'customer',
    'home_zone',
    'availability',
    'services',
    'revision',
)

CustomerArgument = Annotated[str, Argument(help='Name of the customer.')]

contract_app = Typer(
    rich_markup_mode=None, help='Apply, remove, list and show contracts.'
)


@contract_app.command('apply')
def apply_contract(
    context: Context,
    path: Annotated[Path, Argument(help='Contract in YAML.')],
    *,
    request_id: RequestIdOption = None,
    expected_revision: ExpectedRevision = None,
    wait: WaitOption = False,
) -> None:
    """Create or replace the contract of a customer."""
    session: Session = context.obj
    revision = session.change(
        get_request_id(request_id),
        expected_revision,
        {
            'kind': ApplyContractChange.kind,
            'contract': session.read_file(path),
        },
    )
    if wait:
        wait_until_in_force(session, revision)


@contract_app.command('remove')
def remove_contract(
    context: Context,
    customer: CustomerArgument,
    *,
    request_id: RequestIdOption = None,
    expected_revision: ExpectedRevision = None,
    wait: WaitOption = False,
) -> None:
    """Remove the contract of a customer."""
    session: Session = context.obj
    revision = session.change(
        get_request_id(request_id),
        expected_revision,
        {'kind': RemoveContractChange.kind, 'customer': customer},
    )
    if wait:
        wait_until_in_force(session, revision)


@contract_app.command('list')
def list_contracts(context: Context) -> None:
    """List the contracts in force."""
    session: Session = context.obj
    versioned_contracts = session.read('/v1/contracts')
    rows = [
        {
            **versioned['contract'],
            'revision': versioned['revision'],
            'services': ','.join(
                promise['service']
                for promise in versioned['contract']['services']
            ),
        }
        for versioned in versioned_contracts
    ]
    session.output.print_table(rows, _COLUMNS)


@contract_app.command('show')
def show_contract(context: Context, customer: CustomerArgument) -> None:
    """Show the contract of a customer."""
    session: Session = context.obj
    versioned = session.read(f'/v1/contracts/{customer}')
    session.output.print_document(
        {**versioned['contract'], 'revision': versioned['revision']},
    )
