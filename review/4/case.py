"""A frozen control process sends start orders to a later lifetime of their worker."""

import sys
import time
from pathlib import Path
from signal import SIGCONT, SIGSTOP

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support'))

from deployment import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    Worker,
    find_double_runs,
    find_starts_after_done,
    run_case,
)

JOB = '5c0e7a21d94b36f8'
FREEZE_SECONDS = 6.5
# Longer than the first worker stays, shorter than the rest of the freeze.
ITEM_SECONDS = 2.4
IDLE_WORKERS = 70


def get_end(task):
    return ITEM_SECONDS, 'done'


def case(record, deployment):
    deployment.start()
    leader = deployment.find_leader()
    frozen = next(name for name in deployment.controls if name != leader)
    # The worker is in the zone of the process that freezes.
    first = Worker(record, deployment, 'i-7f3a91c2', 1, zone=f'z{frozen[-1]}', rack='r1-1',
                   controls=[leader])
    second = Worker(record, deployment, 'i-55e0c1d7', 2, zone=f'z{leader[-1]}', rack='r1-2',
                    controls=[leader])
    others = [second]
    for worker in (first, second):
        worker.get_end = get_end
        worker.start()
        worker.report()
        worker.keep_reporting()
    # The leader has its orders relayed from 64 workers on.
    for number in range(3, 3 + IDLE_WORKERS):
        idle = Worker(record, deployment, f'i-0000{number:04}', number,
                      zone=f'z{leader[-1]}', rack='r1-3', controls=[leader])
        idle.get_end = get_end
        idle.start()
        idle.report()
        idle.keep_reporting()
        others.append(idle)
    deployment.put_manifest()
    time.sleep(BOUNDS['config_apply_ms'] / 1000)
    time.sleep(1)

    frozen_at = time.monotonic()
    if TROUBLE:
        deployment.signal(frozen, SIGSTOP)
    deployment.submit(JOB, [{'count': 4, 'cpu': 1000, 'mem_mb': 256, 'estimate_ms': 2400,
                             'data_rack': 'r1-1'}])
    # The first worker leaves as planned, for a new version of its software.
    time.sleep(0.1)
    first.state = 'draining'
    first.report()
    time.sleep(2.2)
    first.withdraw()
    first.stop()
    time.sleep(0.8)
    first.state = 'ready'
    first.start()
    first.report()
    first.keep_reporting(1.5)
    time.sleep(max(frozen_at + FREEZE_SECONDS - 0.3 - time.monotonic(), 0))
    deployment.call('GET', JOB)
    time.sleep(0.3)
    if TROUBLE:
        deployment.signal(frozen, SIGCONT)
    time.sleep(5)
    deployment.call('GET', JOB)
    workers = (first, *others)
    return [*find_starts_after_done(workers), *find_double_runs(workers)]


run_case(FOLDER, case)
