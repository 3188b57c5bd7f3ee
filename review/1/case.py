"""A process whose disk was lost cannot receive the manifests of the log."""

import shutil
import sys
import time
from pathlib import Path
from signal import SIGKILL

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support'))

from deployment import BOUNDS, TROUBLE, CannotRun, Worker, run_case  # noqa: E402

JOB = '5c0e7a21d94b36f8'
# `big_config` adds this many routes; `config_storm` changes the manifest at this pace.
ROUTES = 350
GAP_SECONDS = 0.33
CHANGES = 40
# `after_ack_wipe`: the machine is back after this time.
WIPE_SECONDS = 3.0
# `replace_core`: the empty machine comes after this time.
REPLACE_SECONDS = 2.0


def lose_disk(record, deployment, name):
    """Kill a process, remove its disk, and start it again at its old address."""
    deployment.signal(name, SIGKILL)
    deployment.processes[name].wait()
    shutil.rmtree(deployment.folder / f'{name}-data')
    record.add(name, 'has lost its disk')
    time.sleep(WIPE_SECONDS)
    deployment.start_process(name, 'control', deployment.controls[name], f'z{name[-1]}',
                             bootstrap=False)


def replace(record, deployment, name):
    """Remove a machine for good; an empty one comes at another address."""
    deployment.signal(name, SIGKILL)
    deployment.processes[name].wait()
    record.add(name, 'is gone for good')
    time.sleep(REPLACE_SECONDS)
    del deployment.controls[name]
    deployment.controls['control-4'] = f'{deployment.net}.5'
    deployment.start_process('control-4', 'control', deployment.controls['control-4'],
                             f'z{name[-1]}', bootstrap=False)


def case(record, deployment):
    deployment.start()
    worker = Worker(record, deployment, 'i-7f3a91c2', 1)
    worker.get_end = lambda task: (0.5, 'done')
    worker.start()
    worker.report()
    worker.keep_reporting()
    deployment.put_manifest()
    for version in range(8, 8 + CHANGES):
        deployment.put_manifest(version, ROUTES)
        time.sleep(GAP_SECONDS)
    time.sleep(BOUNDS['config_apply_ms'] / 1000)
    deployment.submit(JOB, [{'count': 1, 'cpu': 1000, 'mem_mb': 256, 'estimate_ms': 500}])
    time.sleep(1)

    leader = deployment.find_leader()
    follower = next(name for name in deployment.controls if name != leader)
    if TROUBLE:
        lose_disk(record, deployment, follower)
    # It counts as lost until it has been back for `catch_up_s`.
    time.sleep(2 * BOUNDS['catch_up_s'])
    if deployment.call('GET', JOB)[1].get('state') != 'completed':
        raise CannotRun('the job was not done before the second loss')
    if TROUBLE:
        replace(record, deployment, deployment.find_leader())
    back_at = time.monotonic()
    while time.monotonic() < back_at + BOUNDS['recovery_s'] + BOUNDS['finish_s']:
        time.sleep(1)
        if deployment.call('GET', JOB)[0] == 200:
            return []
    return [f'LOST: job {JOB} is asked for and gets no answer for '
            f'{time.monotonic() - back_at:.0f} s, after the loss of one machine with a disk '
            'and then of another']


run_case(FOLDER, case)
