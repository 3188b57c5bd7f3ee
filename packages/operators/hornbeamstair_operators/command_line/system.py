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
manifest_app = Typer(rich_markup_mode=None, help='Put queues in force.')

_HostOption = Annotated[str, Option(help='Host of the queue.')]
_PathOption = Annotated[str, Option(help='Path prefix of the queue.')]
_JobArgument = Annotated[str, Argument(help='Identifier of the job.')]


@job_app.command('submit')
def submit_job(
    context: Context,
    path: Annotated[Path, Argument(help='Job in YAML.')],
) -> None:
    """Submit a job; the same job may be submitted again."""
    session: Session = context.obj
    document = session.read_file(path)
    session.output.print_record(session.post('/v1/jobs', document))


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
) -> None:
    """Show the state of a job."""
    session: Session = context.obj
    target = _get_target(job, host, path)
    session.output.print_record(session.read(target))


@job_app.command('cancel')
def cancel_job(
    context: Context,
    job: _JobArgument,
    host: _HostOption = '',
    path: _PathOption = '/',
) -> None:
    """Cancel a job; cancelling it again changes nothing."""
    session: Session = context.obj
    target = _get_target(job, host, path)
    session.output.print_record(session.delete(target))


@worker_app.command('list')
def list_workers(context: Context) -> None:
    """List the workers and what is believed of them."""
    _print_rows(context, '/v1/workers', 'workers', _WORKER_COLUMNS)


@host_app.command('list')
def list_hosts(context: Context) -> None:
    """List the hosts as the platform told last."""
    _print_rows(context, '/v1/hosts', 'hosts', _HOST_COLUMNS)


@manifest_app.command('apply')
def apply_manifest(
    context: Context,
    path: Annotated[Path, Argument(help='Manifest in YAML.')],
) -> None:
    """Put a manifest in force if its version is the highest."""
    session: Session = context.obj
    document = session.read_file(path)
    session.output.print_record(session.put('/v1/manifest', document))


def _print_rows(
    context: Context,
    path: str,
    name: str,
    columns: tuple[str, ...],
) -> None:
    session: Session = context.obj
    rows: list[dict[str, Any]] = session.read(path)[name]
    session.output.print_table(rows, columns)


def _get_target(job: str, host: str, path: str) -> str:
    return f'/v1/jobs/{job}?{urlencode({"host": host, "path": path})}'
