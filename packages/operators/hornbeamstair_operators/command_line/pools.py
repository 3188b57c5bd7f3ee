"""Commands on pools."""

from pathlib import Path
from typing import Annotated, Final

from typer import Argument, Context, Typer

from hornbeamstair_operators.changes.pool import DeclarePoolChange
from hornbeamstair_operators.command_line.options import (
    ExpectedRevision,
    RequestIdOption,
    WaitOption,
    get_request_id,
)
from hornbeamstair_operators.command_line.session import Session
from hornbeamstair_operators.command_line.voters import wait_until_in_force

__all__ = ('pool_app',)

_COLUMNS: Final = ('pool', 'service', 'is_spare', 'hosts', 'slots')

pool_app = Typer(rich_markup_mode=None, help='Declare and list pools of hosts.')


@pool_app.command('apply')
def apply_pool(
    context: Context,
    path: Annotated[Path, Argument(help='Pool in YAML.')],
    *,
    request_id: RequestIdOption = None,
    expected_revision: ExpectedRevision = None,
    wait: WaitOption = False,
) -> None:
    """Declare the hosts of one pool."""
    session: Session = context.obj
    revision = session.change(
        get_request_id(request_id),
        expected_revision,
        {'kind': DeclarePoolChange.kind, 'pool': session.read_file(path)},
    )
    if wait:
        wait_until_in_force(session, revision)


@pool_app.command('list')
def list_pools(context: Context) -> None:
    """List the pools in force."""
    session: Session = context.obj
    rows = [
        {
            **pool,
            'hosts': len(pool['hosts']),
            'slots': sum(host['slots'] for host in pool['hosts']),
        }
        for pool in session.read('/v1/pools')
    ]
    session.output.print_table(rows, _COLUMNS)
