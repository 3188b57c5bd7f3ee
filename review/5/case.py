"""An order for upkeep that is already done ends the worker that has joined since."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'support'))

from deployment import (  # noqa: E402
    BOUNDS,
    SERVICE,
    TROUBLE,
    CannotRun,
    Worker,
    find_double_runs,
    http_call,
    run_case,
)

MACHINE = 'm-0a3f1'
JOB = '5c0e7a21d94b36f8'
# `cloud_down`, how silent: 5 s at most.
SILENT_SECONDS = 4.0
# `cloud_slow`: an answer takes up to 50 times as long.
SLOW_SECONDS = 0.4


class Upkeep:
    """Sound platform: an upkeep takes `maintenance_s`; then a new worker joins."""

    def __init__(self, record, deployment, worker):
        self.record = record
        self.deployment = deployment
        self.platform = deployment.platform
        self.worker = worker
        self.workers = [worker]
        self.lock = threading.Lock()
        self.begun_at = None
        self.silent_until = 0.0
        self.asked_again = threading.Event()

    def is_silent(self):
        return time.monotonic() < self.silent_until

    def answer(self, kind, fields, headers):
        if kind != 'upkeep' or fields.get('machine') != MACHINE:
            return 400, {}
        with self.lock:
            if self.begun_at is None:
                self.begun_at = time.monotonic()
                machine = self.platform.machines[MACHINE]
                machine['state'], machine['id'] = 'upkeep', ''
                self.worker.stop()
                threading.Timer(BOUNDS['maintenance_s'], self.finish).start()
                self.record.add('platform', 'upkeep begins')
                if TROUBLE:
                    # The order is carried out, and the API falls silent.
                    self.silent_until = time.monotonic() + SILENT_SECONDS
                    return None
                return 200, {}
        self.asked_again.set()
        time.sleep(SLOW_SECONDS)
        return 200, {}

    def finish(self):
        with self.lock:
            self.worker = Worker(self.record, self.deployment, 'i-0a3f0002', 3, rack='r1-1')
            self.workers.append(self.worker)
            self.worker.start()
            self.platform.machines[MACHINE].update(state='up', id='i-0a3f0002')
        self.worker.report()
        self.worker.keep_reporting(1.5)
        self.record.add('platform', f'{MACHINE} is up again as i-0a3f0002')


def case(record, deployment):
    deployment.start()
    worker = Worker(record, deployment, 'i-0a3f0001', 1, rack='r1-1')
    other = Worker(record, deployment, 'i-0b770001', 2, rack='r1-2')
    upkeep = Upkeep(record, deployment, worker)
    deployment.platform.on_order = upkeep.answer
    deployment.platform.is_silent = upkeep.is_silent
    for started in (worker, other):
        started.start()
        started.report()
        started.keep_reporting()
    deployment.put_manifest()
    time.sleep(BOUNDS['config_apply_ms'] / 1000)
    address = deployment.control_address(deployment.find_leader())
    fields = {'wave': 1, 'machines': [MACHINE], 'deadline_s': 30, 'max_count': 1}
    status, _ = http_call(address, 'POST', '/hornbeamstair/wave-start', fields)
    record.add('operator', f'wave-start {fields}: {status}')
    if TROUBLE and not upkeep.asked_again.wait(20):
        raise CannotRun('the order was not sent again')
    if not TROUBLE:
        time.sleep(6)
    deployment.submit(JOB, [{'count': 8, 'cpu': 1000, 'mem_mb': 256, 'estimate_ms': 30000,
                             'data_rack': 'r1-1'}])
    time.sleep(5)
    return list(find_double_runs([*upkeep.workers, other]))


MACHINES = [
    {'machine': machine, 'pool': SERVICE, 'state': 'up', 'zone': 'z1', 'labels': ['a', rack],
     'capacity': {'cpu': 16000, 'mem_mb': 32768, 'gpu': 0}, 'id': worker}
    for machine, rack, worker in ((MACHINE, 'r1-1', 'i-0a3f0001'),
                                  ('m-0b772', 'r1-2', 'i-0b770001'))
]
run_case(FOLDER, case, MACHINES)
