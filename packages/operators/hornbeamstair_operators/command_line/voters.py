"""Commands on the voters and processes of the system."""

from time import monotonic, sleep
from typing import Annotated, Any, Final

from typer import Argument, Context, Exit, Typer, echo

from hornbeamstair_operators.command_line.session import (
    EXIT_REFUSED,
    Session,
)

__all__ = ('list_processes', 'voter_app', 'wait_in_force')

_COLUMNS: Final = ('process', 'zone', 'voter', 'revision')
_POLL_SECONDS: Final = 0.2
_WAIT_SECONDS: Final = 30.0

Voter = Annotated[
    str,
    Argument(help='Identity PROCESS/INCARNATION of a voter.'),
]

voter_app = Typer(
    rich_markup_mode=None,
    help='List, add, remove and replace the voters of the control log.',
)


@voter_app.command('list')
def list_voters(context: Context) -> None:
    """List the voters and the one that leads."""
    session: Session = context.obj
    status = _get_control(session)
    rows = [
        {'voter': voter, 'leads': voter == status['leader']}
        for voter in status['voters']
    ]
    session.output.print_table(rows, ('voter', 'leads'))


@voter_app.command('add')
def add_voter(context: Context, voter: Voter) -> None:
    """Bring a new voter up to date; it votes once it is."""
    _change(context.obj, 'add', voter)
    _wait_for_voter(context.obj, voter, is_wanted=True)


@voter_app.command('remove')
def remove_voter(context: Context, voter: Voter) -> None:
    """Remove a voter."""
    _change(context.obj, 'remove', voter)
    _wait_for_voter(context.obj, voter, is_wanted=False)


@voter_app.command('replace')
def replace_voter(context: Context, lost: Voter, new: Voter) -> None:
    """Add a new voter, and remove a lost one once the new one votes."""
    add_voter(context, new)
    remove_voter(context, lost)


@voter_app.command('transfer')
def transfer(context: Context, voter: Voter) -> None:
    """Hand the leadership to a voter."""
    _change(context.obj, 'transfer', voter)


def list_processes(context: Context) -> None:
    """List the revision that each process has in force."""
    session: Session = context.obj
    session.output.print_table(session.read('/v1/processes'), _COLUMNS)


def wait_in_force(session: Session, revision: int) -> None:
    """Wait until each process has a revision; exit if one does not."""
    end = monotonic() + _WAIT_SECONDS
    while True:
        late = [
            found['process']
            for found in session.read('/v1/processes')
            if found['revision'] < revision
        ]
        if not late:
            return
        if monotonic() >= end:
            echo(f'not in force yet at: {", ".join(late)}', err=True)
            raise Exit(EXIT_REFUSED)
        sleep(_POLL_SECONDS)


def _change(session: Session, action: str, voter: str) -> None:
    session.post('/v1/voters', {'action': action, 'voter': voter})


def _wait_for_voter(session: Session, voter: str, *, is_wanted: bool) -> None:
    end = monotonic() + _WAIT_SECONDS
    while (voter in _get_control(session)['voters']) != is_wanted:
        if monotonic() >= end:
            echo(f'{voter}: the change is not committed yet', err=True)
            raise Exit(EXIT_REFUSED)
        sleep(_POLL_SECONDS)


def _get_control(session: Session) -> dict[str, Any]:
    control: dict[str, Any] = session.read('/v1/status')['groups'][0]
    return control
