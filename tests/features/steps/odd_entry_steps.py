"""Steps with odd entries of other writers."""

import json
from asyncio import run, timeout
from collections.abc import Iterator
from copy import deepcopy
from typing import Any

from attrs import evolve
from behave import given, then, when
from expression import Ok, Result

from hornbeamstair_callers.endpoints.worker_requests import WorkerRequestHandler
from hornbeamstair_callers.jobs.messages import JobSpec
from hornbeamstair_callers.jobs.records import JobAccepted, RunStarted
from hornbeamstair_callers.jobs.requests import QueueAddress, SubmitJob
from hornbeamstair_callers.jobs.scheduler import Scheduler, SchedulerState
from hornbeamstair_callers.jobs.service import (
    JobRequestHandler,
    RecordCommitter,
)
from hornbeamstair_callers.jobs.table import JobTable
from hornbeamstair_core.background import repeat
from hornbeamstair_core.front_end import SocketAddress
from hornbeamstair_core.ids import (
    JobId,
    QueueName,
    RackName,
    ServiceName,
    TaskId,
    WorkerId,
    ZoneName,
)
from hornbeamstair_core.moments import Moment
from hornbeamstair_operators.manifest.messages import (
    Manifest,
    ManifestPut,
    Queue,
    WorkService,
)
from hornbeamstair_operators.manifest.table import ManifestTable
from hornbeamstair_platform.hosts_client import PlatformHostsClient
from hornbeamstair_replicas.tables.codec import TableStateMachine
from hornbeamstair_upstreams.endpoints.order_client import (
    HttpOrder,
    HttpReply,
    OrderClient,
)
from hornbeamstair_upstreams.work.leases import get_lease_terms
from hornbeamstair_upstreams.work.messages import (
    OrderOutcome,
    Resources,
    WorkerAnnouncement,
)
from hornbeamstair_upstreams.work.requests import AnnounceWorker
from hornbeamstair_upstreams.work.table import WorkerTable
from tests.support.work_model import make_phase

SERVICE = ServiceName('s')
NOW = Moment(100, 1_765_000_000)
ANNOUNCED = WorkerAnnouncement(
    WorkerId('i-1'),
    SERVICE,
    '127.0.0.1',
    8080,
    ZoneName('z'),
    Resources(16000, 32768, 0),
    ('a', 'r1'),
    RackName('r1'),
    1_764_990_000_000,
    4,
    is_leaving=False,
)
ODD_JSON = (
    f'{"[" * 900}{"]" * 900}',
    f'1{"0" * 400}',
    f'-1{"0" * 400}',
    '1e400',
    '-1e400',
    'NaN',
    '1e30',
    r'"\ud800"',
    r'"a\u0000\r\nb"',
    '"host.example:80"',
    '"10.0.0.1:99999"',
    f'"10.0.0.1:{"9" * 5000}"',
    '"10.0.0.1:١"',
    '[]',
    '{}',
    'null',
)
PLACEHOLDER = '@odd@'


class StubCommitter(RecordCommitter):
    """Committer that counts what it is given."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Start without records."""
        self.scheduler = scheduler
        self.records: list[Any] = []

    async def commit(self, records: Any) -> Result[None, Any]:
        """Keep the records."""
        self.records.extend(records)
        return Ok(None)

    def find_scheduler(self) -> Scheduler | None:
        """Return the scheduler."""
        return self.scheduler

    def on_applied(self, record: Any) -> None:
        """Ignore an applied record."""


class StubOrderClient(OrderClient):
    """Client that answers with a page of hosts."""

    page: bytes = b''

    async def send(self, order: HttpOrder) -> HttpReply:
        """Return the page."""
        return HttpReply(200, {}, self.page)


@then('each odd value in each field is refused or harmless')
def check_odd_values(context: Any) -> None:
    """Check that no odd value raises or reaches the product."""
    for body in _make_odd_bodies(context.example):
        outcome = context.decode(body)
        if outcome.is_ok():
            message = outcome.ok
            is_known = getattr(message, 'outcome', None) != OrderOutcome.unknown
            # A message that is used can be encoded for other processes.
            assert not is_known or repr(message).encode(), body[:200]
            assert 'inf' not in repr(message), body[:200]


@when('the field "{name}" holds the JSON {odd}')
def set_odd_field(context: Any, name: str, odd: str) -> None:
    """Replace a field of the example by JSON that is no valid value."""
    context.example[name] = json.loads(odd)


@given('a platform that lists {count:d} hosts')
def make_hosts(context: Any, count: int) -> None:
    """Make the entries of a list."""
    context.entries = [
        json.dumps({'machine': f'm-{number}', 'pool': 'p', 'state': 'up'})
        for number in range(1, count + 1)
    ]


@when('the second entry is the JSON {odd}')
def set_odd_entry(context: Any, odd: str) -> None:
    """Replace an entry."""
    context.entries[1] = odd


@then('the hosts "{names}" are listed')
def check_hosts(context: Any, names: str) -> None:
    """Check which hosts the client lists."""
    client = StubOrderClient()
    client.page = f'{{"machines": [{", ".join(context.entries)}]}}'.encode()
    hosts_client = PlatformHostsClient(SocketAddress('127.0.0.1', 1), client)
    listed = run(hosts_client.list_hosts())
    assert listed is not None
    assert ', '.join(host.host for host in listed) == names, listed


@given('a leader with the worker "{worker}"')
def make_leader(context: Any, worker: str) -> None:
    """Make a scheduler with one announced worker."""
    manifest = ManifestTable()
    queue = Queue(QueueName('q'), 'h', '/p/', SERVICE, 3, 0, 1, 1, 1)
    service = WorkService(SERVICE, guards_room=False, is_standby=False)
    manifest.apply(ManifestPut(Manifest(1, (queue,), (service,), b'{}')))
    state = SchedulerState(JobTable(), manifest, WorkerTable())
    context.scheduler = Scheduler(state, 1, get_lease_terms(6, 0.2))
    context.committer = StubCommitter(context.scheduler)
    announced = evolve(ANNOUNCED, worker=WorkerId(worker))
    assert _announce(context, announced).is_ok()


@when('another writer announces "{worker}" with {name} {odd}')
def announce_odd(context: Any, worker: str, name: str, odd: str) -> None:
    """Send an announcement that differs in one field."""
    value = int(odd) if odd.isdecimal() else odd
    announced = evolve(ANNOUNCED, sequence=5, **{name: value})
    context.outcome = _announce(context, announced)


@then('the announcement is refused with code {code:d}')
@then('the job is refused with code {code:d}')
def check_refused(context: Any, code: int) -> None:
    """Check the code of the failure."""
    assert context.outcome.is_error(), context.outcome
    assert context.outcome.error.number == code, context.outcome.error


@then('the worker "{worker}" is as before')
def check_worker(context: Any, worker: str) -> None:
    """Check what the scheduler knows of the worker."""
    session = context.scheduler.sessions[WorkerId(worker)]
    assert session.announced == ANNOUNCED, session.announced


@when(
    'a job with {phases:d} phases of {count:d} tasks and {times:d} '
    'occurrences is submitted',
)
def submit_large(context: Any, phases: int, count: int, times: int) -> None:
    """Submit a job of a given size."""
    phase = make_phase(count, 1000)
    spec = JobSpec(JobId('1' * 16), '', (phase,) * phases, times)
    context.outcome = _submit(context, spec)


@when('the job "{job}" is submitted')
def submit_named(context: Any, job: str) -> None:
    """Submit a job with an identifier."""
    spec = JobSpec(JobId(job), '', (make_phase(1, 1000),))
    context.outcome = _submit(context, spec)


@when('an order is sent to "{address}" at port {port:d}')
def send_order(context: Any, address: str, port: int) -> None:
    """Send an order and keep its error."""
    host = address.encode('latin-1').decode('unicode_escape')
    order = HttpOrder(host, port, 'POST', '/', (), b'', 1)
    try:
        run(OrderClient().send(order))
    except Exception as error:
        context.error = error


@then('the order was certainly not delivered')
def check_not_delivered(context: Any) -> None:
    """Check the kind of the error."""
    assert isinstance(context.error, ConnectionRefusedError), context.error


@given('background work whose first step fails')
def make_background_work(context: Any) -> None:
    """Make a step that fails once."""
    context.steps = 0

    async def step() -> float:  # noqa: WPS430
        context.steps += 1
        if context.steps == 1:
            raise OverflowError('too large')
        return 10

    context.step = step


@then('its next step runs')
def check_next_step(context: Any) -> None:
    """Run the work for a second."""

    async def run_briefly() -> None:  # noqa: WPS430
        async with timeout(1):
            await repeat('test', context.step)

    try:
        run(run_briefly())
    except TimeoutError:
        assert context.steps == 2, context.steps


@given('a state machine with one job')
def make_state_machine(context: Any) -> None:
    """Apply the record of a job."""
    context.jobs = JobTable()
    context.machine = TableStateMachine((context.jobs,))
    context.machine.apply(
        1, context.machine.codec.encode((_make_accepted('1'),))
    )


@when('a batch with a start of the task "{task}" and a second job is applied')
def apply_batch(context: Any, task: str) -> None:
    """Apply a batch whose first record cannot be applied."""
    started = RunStarted(TaskId(task), 1, WorkerId('i-1'), 1)
    batch = (started, _make_accepted('2'))
    context.machine.apply(2, context.machine.codec.encode(batch))


@then('the second job is in the table')
def check_second_job(context: Any) -> None:
    """Check that the rest of the batch was applied."""
    assert JobId('2') in context.jobs.jobs, context.jobs.jobs


def _make_accepted(job: str) -> JobAccepted:
    spec = JobSpec(JobId(job), '', (make_phase(1, 1000),))
    return JobAccepted(spec, QueueName('q'), SERVICE, 0)


def _announce(context: Any, announced: WorkerAnnouncement) -> Any:
    handler = WorkerRequestHandler(context.committer, lambda: NOW)
    return run(handler.handle(AnnounceWorker(announced)))


def _submit(context: Any, spec: JobSpec) -> Any:
    handler = JobRequestHandler(
        context.scheduler.state, context.committer, lambda: NOW
    )
    return run(handler.handle(SubmitJob(QueueAddress('h', '/p/'), spec, 3)))


def _make_odd_bodies(example: Any) -> Iterator[bytes]:
    for path in _get_paths(example):
        changed = deepcopy(example)
        container = changed
        for key in path[:-1]:
            container = container[key]
        container[path[-1]] = PLACEHOLDER
        text = json.dumps(changed)
        for odd in ODD_JSON:
            yield text.replace(f'"{PLACEHOLDER}"', odd).encode()


def _get_paths(node: Any) -> Iterator[tuple[Any, ...]]:
    if isinstance(node, dict):
        keys = list(node)
    elif isinstance(node, list):
        keys = list(range(len(node)))
    else:
        return
    for key in keys:
        yield (key,)
        yield from ((key, *path) for path in _get_paths(node[key]))
