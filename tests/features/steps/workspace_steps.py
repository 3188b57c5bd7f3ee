"""Steps for the keys of workspaces."""

from asyncio import run
from types import SimpleNamespace
from typing import Any

from attrs import evolve
from behave import given, then, when
from expression import Ok

from hornbeamstair_callers.jobs.messages import JobSpec, Phase
from hornbeamstair_callers.jobs.records import JobAccepted
from hornbeamstair_callers.jobs.requests import (
    QueueAddress,
    ShowJob,
    SubmitJob,
)
from hornbeamstair_callers.jobs.scheduler import SchedulerState
from hornbeamstair_callers.jobs.service import JobRequestHandler
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_callers.workspaces.authentication import (
    get_key_digest,
    read_bearer_digest,
)
from hornbeamstair_core.ids import (
    JobId,
    QueueName,
    ServiceName,
    WorkspaceName,
)
from hornbeamstair_core.moments import Moment
from hornbeamstair_operators.manifest.checks import check_manifest
from hornbeamstair_operators.manifest.messages import (
    Manifest,
    ManifestPut,
    Queue,
    WorkService,
    Workspace,
)
from hornbeamstair_operators.manifest.table import ManifestTable
from hornbeamstair_replicas.tables.codec import TableStateMachine
from hornbeamstair_upstreams.work.messages import Resources, TaskNeeds
from hornbeamstair_upstreams.work.table import WorkerTable

SERVICE = ServiceName('s')
NEEDS = TaskNeeds(Resources(1), 1)


@given('a manifest with the workspaces north and south and an open queue')
def put_manifest(context: Any) -> None:
    """Put the first manifest in force."""
    context.state = SchedulerState(JobTable(), ManifestTable(), WorkerTable())
    context.machine = TableStateMachine(
        (context.state.jobs, context.state.manifest, context.state.workers)
    )
    context.jobs = 0
    context.manifest = Manifest(
        version=1,
        queues=(
            _make_queue('shut'),
            evolve(_make_queue('open'), is_open=True),
        ),
        services=(WorkService(SERVICE, False, False),),
        document=b'',
        workspaces=(
            _make_workspace('north', 'north-1', 'north-2'),
            _make_workspace('south', 'south-1'),
        ),
    )
    _apply(context, context.manifest)


@when('a job is submitted to "{path}" with the key "{key}"')
def submit(context: Any, path: str, key: str) -> None:
    """Submit another job."""
    context.jobs += 1
    context.job = JobId(f'job-{context.jobs}')
    spec = JobSpec(context.job, '', (Phase(1, NEEDS),))
    request = SubmitJob(_make_place(path, key), spec, 1)
    context.outcome = run(_make_handler(context).handle(request))


@when('a job is submitted to "{path}" with the key ""')
def submit_without_key(context: Any, path: str) -> None:
    """Submit another job without a key."""
    submit(context, path, '')


@when('a manifest withdraws the key "{key}"')
def withdraw_key(context: Any, key: str) -> None:
    """Put a manifest without a key in force."""
    withdrawn = get_key_digest(key)
    context.later = evolve(
        context.manifest,
        version=2,
        workspaces=tuple(
            evolve(
                found,
                key_digests=tuple(
                    digest
                    for digest in found.key_digests
                    if digest != withdrawn
                ),
            )
            for found in context.manifest.workspaces
        ),
    )
    _apply(context, context.later)


@when('a manifest withdraws all workspaces')
def withdraw_workspaces(context: Any) -> None:
    """Put a manifest with an empty list of workspaces in force."""
    _apply(context, evolve(context.manifest, version=2, workspaces=()))


@when('the tables are restored from a snapshot of the previous manifest')
def restore_snapshot(context: Any) -> None:
    """Restore the state from before the withdrawal."""
    before = ManifestTable()
    before.apply(ManifestPut(context.manifest))
    machine = TableStateMachine((JobTable(), before, WorkerTable()))
    context.machine.restore(machine.get_snapshot())


@when('the log of the later manifest is applied again')
def apply_again(context: Any) -> None:
    """Apply both manifests, the older one last."""
    _apply(context, context.later)
    _apply(context, context.manifest)


@when('a manifest gives the key "{key}" to the workspace south as well')
def share_key(context: Any, key: str) -> None:
    """Check a manifest in which two workspaces hold one key."""
    north, south = context.manifest.workspaces
    south = evolve(south, key_digests=(get_key_digest(key),))
    context.outcome = check_manifest(
        evolve(context.manifest, workspaces=(north, south))
    )


@then('the call ends with code {code:d}')
def check_code(context: Any, code: int) -> None:
    """Check the failure of the call; 0 for none."""
    outcome = context.outcome
    found = outcome.error.number if outcome.is_error() else 0
    assert found == code, outcome


@then('the key "{key}" sees the job')
def check_visible(context: Any, key: str) -> None:
    """Check that a key shows the job."""
    assert _show(context, key).is_ok()


@then('the key "{key}" does not see the job')
def check_hidden(context: Any, key: str) -> None:
    """Check that the job is unknown to a key."""
    assert _show(context, key).error.number == 2102


@then('it is refused for a shared key that the reason does not show')
def check_shared(context: Any) -> None:
    """Check the reason of the refusal."""
    reason = context.outcome.error.describe()
    assert 'share a key' in reason, reason
    assert 'north-1' not in reason, reason
    assert get_key_digest('north-1') not in reason, reason


@then('a job record without a workspace decodes as one of an open queue')
def check_old_job(context: Any) -> None:
    """Decode a record as the previous version wrote it."""
    spec = JobSpec(JobId('old'), '', (Phase(1, NEEDS),))
    record = JobAccepted(spec, QueueName('shut'), SERVICE, 0)
    assert not _decode_without(context, record, 'workspace').workspace


@then('a manifest record without workspaces needs no keys')
def check_old_manifest(context: Any) -> None:
    """Apply a manifest as the previous version wrote it."""
    table = ManifestTable()
    put = ManifestPut(evolve(context.manifest, workspaces=None))
    table.apply(put)
    assert not table.needs_keys


def _decode_without(context: Any, record: Any, name: str) -> Any:
    converter = context.machine.codec.converter
    fields = converter.unstructure(record)
    fields.pop(name)
    return converter.structure(fields, type(record))


def _show(context: Any, key: str) -> Any:
    request = ShowJob(_make_place('/shut/', key), context.job)
    return run(_make_handler(context).handle(request))


def _make_handler(context: Any) -> JobRequestHandler:
    async def commit(records: tuple[Any, ...]) -> Any:  # noqa: WPS430
        for record in records:
            context.state.jobs.apply(record)
        return Ok(None)

    committer: Any = SimpleNamespace(commit=commit, find_scheduler=lambda: None)
    return JobRequestHandler(context.state, committer, lambda: Moment(0, 0))


def _make_place(path: str, key: str) -> QueueAddress:
    digest = read_bearer_digest(f'Bearer {key}')
    return QueueAddress('h', path, digest)


def _make_queue(name: str) -> Queue:
    return Queue(QueueName(name), 'h', f'/{name}/', SERVICE, 3, 0, 1, 1, 1)


def _make_workspace(name: str, *keys: str) -> Workspace:
    digests = tuple(map(get_key_digest, keys))
    return Workspace(WorkspaceName(name), digests)


def _apply(context: Any, manifest: Manifest) -> None:
    context.state.manifest.apply(ManifestPut(manifest))
