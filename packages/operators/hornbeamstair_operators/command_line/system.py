"""Commands on jobs, workers, hosts and the manifest."""

from pathlib import Path
from typing import Annotated, Any, Final
from urllib.parse import urlencode

from typer import Argument, Context, Option, Typer

from hornbeamstair_operators.command_line.session import Session

__all__ = ('job_app', 'host_app', 'manifest_app', 'worker_app')

_JOB_COLUMNS: Final = (
    'job',
    'queue',
    'state',
    'tasks',
    'tasks_done',
    'tasks_running',
)
_WORKER_COLUMNS: Final = (
    'worker',
    'service',
    'zone',
    'belief',
    'runs',
    'free_cpu',
)
_HOST_COLUMNS: Final = ('host', 'pool', 'state', 'zone', 'worker')

job_app = Typer(rich_markup_mode=None, help='Submit, show and cancel jobs.')
worker_app = Typer(rich_markup_mode=None, help='List workers.')
host_app = Typer(rich_markup_mode=None, help='List hosts.')
manifest_app = Typer(
    rich_markup_mode=None, help='Apply the manifest of queues and services.'
)

_HostOption = Annotated[str, Option(help='Host of the queue.')]
_PathOption = Annotated[str, Option(help='Path prefix of the queue.')]
_KeyOption = Annotated[
    str,
    Option(
        envvar='HORNBEAMSTAIR_KEY',
        help='Key of the workspace; sent instead of the token.',
    ),
]
_JobArgument = Annotated[str, Argument(help='Id of the job.')]


@job_app.command('submit')
def submit_job(
    context: Context,
    path: Annotated[Path, Argument(help='Job in YAML.')],
    key: _KeyOption = '',
) -> None:
    """Submit a job; submitting it again has no effect."""
    session: Session = context.obj.with_token(key)
    document = session.read_file(path)
    session.output.print_document(session.post('/v1/jobs', document))


@job_app.command('list')
def list_jobs(context: Context) -> None:
    """List the jobs."""
    _print_rows(context, '/v1/jobs', 'jobs', _JOB_COLUMNS)


@job_app.command('show')
def show_job(
    context: Context,
    job: _JobArgument,
    host: _HostOption = '',
    path: _PathOption = '/',
    key: _KeyOption = '',
) -> None:
    """Show the state of a job."""
    session: Session = context.obj.with_token(key)
    job_path = _get_job_path(job, host, path)
    session.output.print_document(session.read(job_path))


@job_app.command('cancel')
def cancel_job(
    context: Context,
    job: _JobArgument,
    host: _HostOption = '',
    path: _PathOption = '/',
    key: _KeyOption = '',
) -> None:
    """Cancel a job; cancelling it again has no effect."""
    session: Session = context.obj.with_token(key)
    job_path = _get_job_path(job, host, path)
    session.output.print_document(session.delete(job_path))


@worker_app.command('list')
def list_workers(context: Context) -> None:
    """List the workers and their observed states."""
    _print_rows(context, '/v1/workers', 'workers', _WORKER_COLUMNS)


@host_app.command('list')
def list_hosts(context: Context) -> None:
    """List the hosts as the platform last reported them."""
    _print_rows(context, '/v1/hosts', 'hosts', _HOST_COLUMNS)


@manifest_app.command('apply')
def apply_manifest(
    context: Context,
    path: Annotated[Path, Argument(help='Manifest in YAML.')],
) -> None:
    """Put a manifest in force if its version is the highest."""
    session: Session = context.obj
    document = session.read_file(path)
    session.output.print_document(session.put('/v1/manifest', document))


def _print_rows(
    context: Context,
    path: str,
    key: str,
    columns: tuple[str, ...],
) -> None:
    session: Session = context.obj
    rows: list[dict[str, Any]] = session.read(path)[key]
    session.output.print_table(rows, columns)


def _get_job_path(job: str, host: str, path: str) -> str:
    return f'/v1/jobs/{job}?{urlencode({"host": host, "path": path})}'
