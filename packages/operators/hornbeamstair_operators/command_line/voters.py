"""Commands on the voters and processes of the system."""

from time import monotonic, sleep
from typing import Annotated, Any, Final

from typer import Argument, Context, Exit, Typer, echo

from hornbeamstair_operators.command_line.session import (
    EXIT_REFUSED,
    Session,
)

__all__ = ('list_processes', 'voter_app', 'wait_until_in_force')

_COLUMNS: Final = ('process', 'zone', 'voter', 'revision')
_POLL_SECONDS: Final = 0.2
_WAIT_SECONDS: Final = 30.0

VoterArgument = Annotated[
    str,
    Argument(help='Identity PROCESS/INCARNATION of a voter.'),
]

voter_app = Typer(
    rich_markup_mode=None,
    help='List, add, remove and replace the voters of the control log.',
)


@voter_app.command('list')
def list_voters(context: Context) -> None:
    """List the voters and show which one leads."""
    session: Session = context.obj
    status = _get_control_status(session)
    rows = [
        {'voter': voter, 'leads': voter == status['leader']}
        for voter in status['voters']
    ]
    session.output.print_table(rows, ('voter', 'leads'))


@voter_app.command('add')
def add_voter(context: Context, voter: VoterArgument) -> None:
    """Add a voter, which votes once its log has caught up."""
    _change(context.obj, 'add', voter)
    _wait_for_voter(context.obj, voter, is_wanted=True)


@voter_app.command('remove')
def remove_voter(context: Context, voter: VoterArgument) -> None:
    """Remove a voter."""
    _change(context.obj, 'remove', voter)
    _wait_for_voter(context.obj, voter, is_wanted=False)


@voter_app.command('replace')
def replace_voter(
    context: Context, lost: VoterArgument, new: VoterArgument
) -> None:
    """Add a new voter and, once it votes, remove an unreachable one."""
    add_voter(context, new)
    remove_voter(context, lost)


@voter_app.command('transfer')
def transfer(context: Context, voter: VoterArgument) -> None:
    """Transfer the leadership to a voter."""
    _change(context.obj, 'transfer', voter)


def list_processes(context: Context) -> None:
    """List the processes with the revision that each has in force."""
    session: Session = context.obj
    session.output.print_table(session.read('/v1/processes'), _COLUMNS)


def wait_until_in_force(session: Session, revision: int) -> None:
    """Wait until a revision is in force everywhere; exit after a timeout."""
    deadline = monotonic() + _WAIT_SECONDS
    while True:
        lagging = [
            process['process']
            for process in session.read('/v1/processes')
            if process['revision'] < revision
        ]
        if not lagging:
            return
        if monotonic() >= deadline:
            echo(f'not in force yet at: {", ".join(lagging)}', err=True)
            raise Exit(EXIT_REFUSED)
        sleep(_POLL_SECONDS)


def _change(session: Session, action: str, voter: str) -> None:
    session.post('/v1/voters', {'action': action, 'voter': voter})


def _wait_for_voter(session: Session, voter: str, *, is_wanted: bool) -> None:
    deadline = monotonic() + _WAIT_SECONDS
    while (voter in _get_control_status(session)['voters']) != is_wanted:
        if monotonic() >= deadline:
            echo(f'{voter}: the change is not committed yet', err=True)
            raise Exit(EXIT_REFUSED)
        sleep(_POLL_SECONDS)


def _get_control_status(session: Session) -> dict[str, Any]:
    control: dict[str, Any] = session.read('/v1/status')['groups'][0]
    return control
