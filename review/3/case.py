"""A notice that a worker ends is delivered late, by a control process that was frozen."""

import sys
import time
from pathlib import Path
from signal import SIGCONT, SIGSTOP

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support'))

from deployment import BOUNDS, TROUBLE, CannotRun, Worker, find_double_runs, run_case  # noqa: E402

JOB = '5c0e7a21d94b36f8'
FREEZE_SECONDS = 4.0


def case(record, deployment):
    deployment.start()
    leader = deployment.find_leader()
    frozen = next(name for name in deployment.controls if name != leader)
    order = [frozen, leader]
    zone = f'z{leader[-1]}'
    first = Worker(record, deployment, 'i-7f3a91c2', 1, zone=zone, rack='r1-1', controls=order)
    second = Worker(record, deployment, 'i-55e0c1d7', 2, zone=zone, rack='r1-2',
                    controls=[leader])
    for worker in (first, second):
        worker.start()
        worker.report()
        worker.keep_reporting()
    deployment.put_manifest()
    time.sleep(BOUNDS['config_apply_ms'] / 1000)

    # Life 1 of the first worker ends as planned, for a new version of its software.
    first.state = 'draining'
    first.report()
    time.sleep(2.3)
    frozen_at = time.monotonic()
    if TROUBLE:
        deployment.signal(frozen, SIGSTOP)
    first.withdraw()
    first.stop()
    time.sleep(0.2)
    first.state = 'ready'
    first.start()
    first.report(leader)
    first.given_controls = [leader]
    first.keep_reporting(1.5)
    # The system has looked at the new lifetime, and knows it.
    deployment.wait(lambda: first.holds > 1, 2, 'a look at the new lifetime')

    deployment.submit(JOB, [{'count': 8, 'cpu': 1000, 'mem_mb': 256, 'estimate_ms': 30000,
                             'data_rack': 'r1-1'}])
    deployment.wait(lambda: len(first.running) + len(second.running) == 8, 10, 'the runs')
    record.add('case', f'{len(first.running)} items run on the first worker, '
               f'{len(second.running)} on the second')
    if not first.running:
        raise CannotRun('nothing runs on the first worker')
    left = frozen_at + FREEZE_SECONDS - time.monotonic()
    if left < 0:
        raise CannotRun('the set-up took longer than the freeze')
    time.sleep(left)
    if TROUBLE:
        deployment.signal(frozen, SIGCONT)
    time.sleep(6)
    return list(find_double_runs((first, second)))


run_case(FOLDER, case)
