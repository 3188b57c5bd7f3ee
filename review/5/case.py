"""Two waves name the same machine, and the refusal of the second order is lost."""

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
    http_call,
    run_case,
)

MACHINE = 'm-0a3f1'


class Upkeep:
    """Sound platform: an upkeep of one machine takes `maintenance_s`."""

    def __init__(self, record, deployment, worker):
        self.record = record
        self.platform = deployment.platform
        self.deployment = deployment
        self.worker = worker
        self.begun = set()
        self.lifetime = 1
        self.lost = 0
        self.back_at = 0.0
        self.lock = threading.Lock()

    def answer(self, kind, fields, headers):
        with self.lock:
            return self._answer(kind, fields)

    def _answer(self, kind, fields):
        self._finish()
        machine = self.platform.machines[MACHINE]
        wave = fields.get('wave')
        if kind != 'upkeep' or fields.get('machine') != MACHINE:
            return 400, {}
        if wave in self.begun:
            return 200, {}
        if machine['state'] != 'up':
            if TROUBLE and not self.lost:
                # The machine is down for the other wave, so nothing is done, and the
                # refusal is lost.
                self.lost += 1
                self.record.add('platform', f'upkeep for wave {wave}: refused, no answer')
                return None
            return 409, {'reason': 'busy'}
        self.begun.add(wave)
        machine['state'] = 'upkeep'
        machine['id'] = ''
        self.worker.stop()
        self.back_at = time.monotonic() + BOUNDS['maintenance_s']
        self.record.add('platform', f'upkeep for wave {wave} begins')
        return 200, {}

    def finish(self):
        with self.lock:
            self._finish()

    def _finish(self):
        machine = self.platform.machines[MACHINE]
        if machine['state'] == 'upkeep' and time.monotonic() >= self.back_at:
            self.lifetime += 1
            machine['state'] = 'up'
            machine['id'] = f'i-0a3f{self.lifetime:04}'
            self.worker = Worker(self.record, self.deployment, machine['id'], self.lifetime)
            self.worker.start()
            self.worker.report()
            self.worker.keep_reporting()
            self.record.add('platform', f'{MACHINE} is up again as {machine["id"]}')


def case(record, deployment):
    platform = deployment.platform
    deployment.start()
    worker = Worker(record, deployment, 'i-0a3f0001', 1)
    upkeep = Upkeep(record, deployment, worker)
    platform.on_order = upkeep.answer
    worker.start()
    worker.report()
    worker.keep_reporting()
    deployment.put_manifest()
    time.sleep(BOUNDS['config_apply_ms'] / 1000)
    address = deployment.control_address(deployment.find_leader())
    for wave in (1, 2):
        fields = {'wave': wave, 'machines': [MACHINE], 'deadline_s': 30, 'max_count': 1}
        status, _ = http_call(address, 'POST', '/hornbeamstair/wave-start', fields)
        record.add('operator', f'wave-start {fields}: {status}')
        if status != 200:
            raise CannotRun('a wave was not accepted')
    problems = []
    completed = set()
    end = time.monotonic() + 25
    while time.monotonic() < end and len(completed) < 2:
        time.sleep(0.2)
        upkeep.finish()
        for wave in (1, 2):
            status, reply = http_call(address, 'GET', f'/hornbeamstair/wave-get/{wave}')
            if reply.get('state') == 'completed' and wave not in completed:
                completed.add(wave)
                record.add('operator', f'wave-get {wave}: {status} {reply}, upkeeps begun '
                           f'for waves {sorted(upkeep.begun)}')
                if wave not in upkeep.begun:
                    problems.append(f'MIXED: wave {wave} is said to be completed, and '
                                    f'{MACHINE} has not begun its upkeep')
    if not completed:
        raise CannotRun('no wave was completed')
    return problems


MACHINES = [{
    'machine': MACHINE, 'pool': SERVICE, 'state': 'up', 'zone': 'z1', 'labels': ['a', 'r1-1'],
    'capacity': {'cpu': 16000, 'mem_mb': 32768, 'gpu': 0}, 'id': 'i-0a3f0001',
}]
run_case(FOLDER, case, MACHINES)
