"""Main command of the command line `hornbeamstair`."""

from typing import Annotated

from typer import Argument, BadParameter, Context, Option, Typer

from hornbeamstair_operators.command_line.client import ApiClient
from hornbeamstair_operators.command_line.contracts import contract_app
from hornbeamstair_operators.command_line.manifest_check import (
    check_manifest_file,
)
from hornbeamstair_operators.command_line.output import OUTPUT_NAMES, get_output
from hornbeamstair_operators.command_line.pools import pool_app
from hornbeamstair_operators.command_line.session import Session
from hornbeamstair_operators.command_line.system import (
    host_app,
    job_app,
    manifest_app,
    worker_app,
)
from hornbeamstair_operators.command_line.trace import trace
from hornbeamstair_operators.command_line.voters import (
    list_processes,
    voter_app,
)
from hornbeamstair_operators.command_line.workspaces import workspace_app

__all__ = ('app', 'main')

app = Typer(
    add_completion=False,
    no_args_is_help=True,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    help='Manage contracts, pools and maintenance of a fleet.',
)
app.add_typer(contract_app, name='contract')
app.add_typer(pool_app, name='pool')
app.add_typer(voter_app, name='voter')
app.add_typer(job_app, name='job')
app.add_typer(worker_app, name='worker')
app.add_typer(host_app, name='machine')
app.add_typer(manifest_app, name='manifest')
manifest_app.command('check')(check_manifest_file)
app.add_typer(workspace_app, name='workspace')
app.command('processes')(list_processes)
app.command('trace')(trace)


@app.callback()
def set_up(
    context: Context,
    *,
    server: Annotated[
        str,
        Option(
            envvar='HORNBEAMSTAIR_SERVER',
            help='URL of the operators API.',
        ),
    ] = 'http://127.0.0.1:7003',
    token: Annotated[
        str,
        Option(
            envvar='HORNBEAMSTAIR_TOKEN',
            help='Bearer token of the operators API.',
        ),
    ] = '',
    output: Annotated[
        str,
        Option(help='Output format: text or json.'),
    ] = 'text',
) -> None:
    """Manage contracts, pools and maintenance of a fleet."""
    if output not in OUTPUT_NAMES:
        raise BadParameter(f'must be one of: {", ".join(OUTPUT_NAMES)}')
    client = ApiClient(server.rstrip('/'), token)
    context.obj = Session(client, get_output(output))


@app.command()
def explain(
    context: Context,
    customer: Annotated[str, Argument(help='Name of the customer.')],
) -> None:
    """Explain how each limit of a customer's contract is derived."""
    session: Session = context.obj
    session.output.print_table(
        session.read(f'/v1/contracts/{customer}/limits'),
        ('service', 'limit', 'figure', 'unit', 'reason'),
    )


@app.command()
def status(context: Context) -> None:
    """Show the state of the process and its upstreams."""
    session: Session = context.obj
    session.output.print_document(session.read('/v1/status'))


def main() -> None:
    """Run the command line."""
    app()
