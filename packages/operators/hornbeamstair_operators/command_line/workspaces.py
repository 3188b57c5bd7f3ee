"""Commands on workspaces."""

from typing import Annotated, Final

from typer import Argument, Context, Typer

from hornbeamstair_operators.command_line.session import Session

__all__ = ('workspace_app',)

_COLUMNS: Final = (
    'workspace',
    'weight',
    'cpu',
    'max_cpu',
    'share',
    'open_jobs',
    'waiting_jobs',
    'beyond_jobs',
    'is_held',
    'refusals',
)

workspace_app = Typer(rich_markup_mode=None, help='List and show workspaces.')


@workspace_app.command('list')
def list_workspaces(context: Context) -> None:
    """List the workspaces with their usage, limits and shares."""
    session: Session = context.obj
    rows = session.read('/v1/workspaces')['workspaces']
    session.output.print_table(rows, _COLUMNS)


@workspace_app.command('show')
def show_workspace(
    context: Context,
    workspace: Annotated[str, Argument(help='Name of the workspace.')],
) -> None:
    """Show a workspace with all its limits and refusals by cause."""
    session: Session = context.obj
    rows = session.read(f'/v1/workspaces/{workspace}')['workspaces']
    session.output.print_document(rows[0])
