"""Small deployment on loopback with stand-in workers, platform and callers.

The programs of the project run as processes of their own with the commands of
the deploy file. Workers, the platform's API, the operator and the callers are
stand-ins in this process; they behave as PROTOCOL.md says. `record.txt` gets a
line for what was sent, answered and run.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from http_stand_in import Server, call

ROOT = Path(__file__).resolve().parents[2]
HOST = 'queue.example'
STOP_MS = 200
HOLD_MS = 6000
GANG_MS = 3000

BOUNDS = '''[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
unsettled_max_ms = 5000
recovery_s = 12
hold_max_ms = 6000
stop_timeout_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
cross_rack_factor = 3
checkpoint_s = 2
restore_ms = 600
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
fencing_enforced = true
lease_ms = 3000
thaw_slack_ms = 300
pace_ms = 100
interference_ms = 4000
'''


class CannotRun(Exception):
    """The case could not run."""


class Worker:
    """Stand-in for a worker: runs work items under leases and fences."""

    def __init__(self, world, name, service, machine, host, port, rack='r1',
                 kind='a', cpu=16000, mem=32768, zone='z1',
                 before_order=None):
        self.world = world
        self.name = name
        self.service = service
        self.machine = machine
        self.host = host
        self.port = port
        self.rack = rack
        self.kind = kind
        self.cpu = cpu
        self.mem = mem
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.sequence = 0
        self.state = 'ready'
        self.token = 0
        self.lease_ms = 0
        # Work item -> dict(run, spec, since, ms, how, lasts, working)
        self.running = {}
        self.highest = {}
        self.finished = []
        self.last_end = 0
        self.wakeup = asyncio.Event()
        self.is_up = True
        self.is_beating = True
        self.server = Server(host, port, self.handle)
        # Hook of a case: awaited before an order is carried out.
        self.before_order = before_order
        self.tasks = []

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def start(self):
        await self.server.start()
        self.tasks = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._tick()),
        ]
        self.world.note(f'worker {self.name} is up ({self.service})')

    def crash(self):
        """End like a killed process."""
        self.world.note(f'worker {self.name} crashes')
        self._end_life()
        self.server.close()

    def go_dark(self):
        """Be lost: nothing is answered any more, nothing runs."""
        self.world.note(f'worker {self.name} is lost (silent)')
        self.server.is_dark = True
        self._end_life()

    def _end_life(self):
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        runs = dict(self.running)
        self.running.clear()
        for item, run in runs.items():
            self.world.note_end(self, item, run['run'], 'lost')
            if run['gang'] and run['working']:
                for worker, member in self.world.find_gang(item, run['run']):
                    worker.end(member, 'broken')

    async def _beat(self):
        at = random.randrange(3)
        while True:
            if self.is_beating:
                self.sequence += 1
                body = {
                    'service': self.service,
                    'address': f'{self.host}:{self.port}',
                    'zone': self.zone, 'version': 'v1', 'slots': 8,
                    'state': self.state, 'cold_remaining_ms': 0,
                    'capacity': {'cpu': self.cpu, 'mem_mb': self.mem, 'gpu': 0},
                    'labels': [self.kind, self.rack],
                    'clock_ms': self.clock_ms, 'sequence': self.sequence,
                    'born': self.born,
                }
                for _ in range(3):
                    control = self.world.controls[at % 3]
                    status, _ = await call(
                        control.ip, self.world.control_port, 'PUT',
                        f'/hornbeamstair/instances/{self.name}', body,
                        seconds=1.0,
                    )
                    if 200 <= status < 300:
                        break
                    at += 1
            await asyncio.sleep(1.5)

    async def _tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.running and self.clock_ms > self.lease_ms:
                for item in list(self.running):
                    self.end(item, 'lapsed')
            for item, run in list(self.running.items()):
                if run.get('stop_at') and now >= run['stop_at']:
                    self.end(item, 'stopped')
                elif not run['working']:
                    self._join_gang(item, run, now)
                elif not run['lasts'] and now - run['since'] >= run['ms'] / 1000:
                    self.end(item, run['how'])

    def _join_gang(self, item, run, now):
        """Begin to work once all members of the gang are present."""
        members = self.world.find_gang(item, run['run'])
        if len(members) >= run['gang']:
            for worker, member in members:
                worker.running[member].update(working=True, since=now)
        elif now - run['since'] > GANG_MS / 1000:
            self.end(item, 'alone')

    def end(self, item, how):
        run = self.running.pop(item, None)
        if run is None:
            return
        self.highest[item] = max(self.highest.get(item, 0), run['run'])
        self.last_end += 1
        self.finished.append([self.last_end, item, run['run'], how, ''])
        self.world.note_end(self, item, run['run'], how)
        self.wakeup.set()
        if run['gang'] and run['working']:
            # The members of a gang end together.
            for worker, member in self.world.find_gang(item, run['run']):
                worker.end(member, 'done' if how == 'done' else 'broken')

    def _is_fenced(self, token):
        if token < self.token:
            return True
        self.token = token
        return False

    def _extend(self, expires):
        if expires is not None:
            self.lease_ms = max(
                self.lease_ms, min(expires, self.clock_ms + HOLD_MS)
            )

    def _answer(self, **fields):
        return {'clock_ms': self.clock_ms, **fields}

    async def handle(self, method, path, headers, body):
        if path == '/healthz':
            return 200, {}
        if headers.get('x-expect-instance', self.name) != self.name:
            return 421, {}
        order = json.loads(body)
        self.world.calls.append((self.world.now, self.name))
        if self.before_order is not None:
            await self.before_order(path, order)
        token = order.get('fencing_token', 0)
        if path == '/hornbeamstair/hold':
            return await self._hold(order, token)
        if self._is_fenced(token):
            return 409, self._answer(reason='fence')
        if path == '/hornbeamstair/run-start':
            return self._start(order)
        if path == '/hornbeamstair/run-stop':
            return self._stop(order)
        if path == '/hornbeamstair/pace':
            self.world.note(f'{self.name}: pace {order}')
            return 200, self._answer()
        return 404, {}

    async def _hold(self, order, token):
        if self._is_fenced(token):
            return 409, self._answer(reason='fence')
        self._extend(order.get('expires_ms'))
        cursor = order.get('ack_cursor', 0)
        for row in self.finished:
            if row[0] <= cursor:
                self.world.note_acked(self, row[1], row[2], row[3])
        self.finished = [row for row in self.finished if row[0] > cursor]
        wait = order.get('wait_ms', 0)
        if wait and not self.finished:
            self.wakeup.clear()
            try:
                async with asyncio.timeout(wait / 1000):
                    await self.wakeup.wait()
            except TimeoutError:
                pass
        rows = [
            [item, run['run'], '', 100, run['reading']]
            for item, run in self.running.items()
            if not run.get('stop_at')
        ]
        return 200, self._answer(
            born=self.born, running=rows, finished=self.finished[:500]
        )

    def _start(self, order):
        item, run = order['task'], order['run_number']
        known = self.running.get(item)
        if known is not None and known['run'] == run:
            return 200, self._answer()
        if run <= self.highest.get(item, 0) or (
            known is not None and run < known['run']
        ):
            self._extend(order['expires_ms'])
            return 409, self._answer(reason='old')
        if order['expires_ms'] < self.clock_ms:
            return 409, self._answer(reason='late')
        self._extend(order['expires_ms'])
        plan = json.loads(order['spec'])
        step = plan[int(item.split('.')[2])]
        self.running[item] = {
            'run': run, 'since': time.monotonic(), 'ms': step.get('ms', 500),
            'how': step.get('how', 'done'), 'lasts': step.get('lasts', False),
            'working': not step.get('gang'), 'reading': step.get('reading', 0),
            'gang': step.get('gang', 0), 'cpu': step.get('cpu', 0),
        }
        self.world.note_start(self, item, run, order)
        return 200, self._answer()

    def _stop(self, order):
        item, run = order['task'], order['run_number']
        self.world.note(f'{self.name}: stop {item} run {run}')
        known = self.running.get(item)
        if known is not None and known['run'] <= run:
            known.setdefault('stop_at', time.monotonic() + STOP_MS / 2000)
        self.highest[item] = max(self.highest.get(item, 0), run)
        return 200, self._answer()


class Process:
    """Process of the project."""

    def __init__(self, world, role, name, ip, zone):
        self.world = world
        self.role = role
        self.name = name
        self.ip = ip
        self.zone = zone
        self.popen = None
        self.log = world.folder / f'{name}.log'
        self.data = world.folder / f'{name}-data'

    def write_settings(self, *, bootstrap):
        world = self.world
        is_control = self.role == 'control'
        seeds = json.dumps(
            [f'{seed.ip}:{world.control_port}' for seed in world.controls]
        )
        listen = (
            f'control_plane = "{self.ip}:{world.control_port}"\n'
            if is_control
            else f'frontend = "{self.ip}:{world.front_port}"\n'
            f'ready = "{self.ip}:{world.ready_port}"\n'
        )
        text = (
            f'node_name = "{self.name}"\nrole = "{self.role}"\n'
            f'machine_class = "{"core" if is_control else "frontend"}"\n'
            f'serves = ["{"control" if is_control else "frontend"}"]\n'
            f'ip = "{self.ip}"\nzone = "{self.zone}"\nregion = "area"\n'
            f'internal_ports = [{world.inner_port},{world.inner_port + 15}]\n'
            f'seed_nodes = {seeds}\nbootstrap = {str(bootstrap).lower()}\n'
            f'is_counted = {str(is_control).lower()}\n'
        )
        if is_control:
            text += f'data_dir = "{self.data}"\n'
        text += (
            'discovery = "registry"\nentry = "vip"\nheartbeat_ms = 1500\n'
            'contracts = ["base","drain","config","cost","recover","sched",'
            '"advice","upkeep","sharing"]\n'
            'config_mode = "highest"\norders = "call"\n'
            '[zones]\nz1 = "area"\nz2 = "area"\nz3 = "area"\n'
            f'[listen]\n{listen}'
            '[limits]\ncpu_quota = 1.0\ncpu_cores = 2\nmemory_mb = 300\n'
            'max_fds = 4096\nlink_mbps = 1000.0\n'
            f'disk_mb = {128 if is_control else 0}\n'
            '[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n'
            + BOUNDS
            + f'[cloud_api]\naddress = "{world.base}.250:{world.cloud_port}"\n'
            'rate_per_s = 64.0\nduties = []\nduty_per_s = 64.0\n'
        )
        (world.folder / f'{self.name}.toml').write_text(text)

    def start(self, *, bootstrap=False):
        if self.role == 'control':
            self.data.mkdir(exist_ok=True)
        self.write_settings(bootstrap=bootstrap)
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['HORNBEAMSTAIR_NODE_FILE'] = str(
            self.world.folder / f'{self.name}.toml'
        )
        with self.log.open('ab') as log:
            self.popen = subprocess.Popen(
                self.world.commands[self.role], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )
        self.world.note(f'{self.name} starts')

    def send(self, number):
        self.world.note(f'{self.name} gets {signal.Signals(number).name}')
        self.popen.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.popen.wait()


class World:
    """Deployment, stand-ins and the record of a case."""

    def __init__(self, folder, seed=None):
        self.case = Path(folder)
        self.folder = Path(tempfile.mkdtemp(prefix='hornbeamstair-review-'))
        self.begun = time.monotonic()
        self.lines = []
        self.random = random.Random(seed)
        self.workers = {}
        self.machines = {}
        self.servers = []
        self.starts = []
        self.ends = []
        self.acked = []
        self.calls = []
        self.moves = []
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        number = os.getpid() % 60000
        self.base = f'127.{20 + number // 250 % 200}.{number % 250}'
        self.inner_port = 17060
        self.control_port = 18623
        self.front_port = 18624
        self.ready_port = 18622
        self.cloud_port = 18621
        roles = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']
        self.commands = {
            role: found['run'].split() for role, found in roles.items()
        }
        self.controls = [
            Process(self, 'control', f'core-{n}', f'{self.base}.{n + 1}', f'z{n}')
            for n in (1, 2, 3)
        ]
        self.entries = [
            Process(self, 'entry', f'front-{n}', f'{self.base}.{n + 10}', f'z{n}')
            for n in (1, 2)
        ]
        self.version = 0
        self.manifest = {}
        self.next_address = 100

    # Record

    @property
    def now(self):
        return time.monotonic() - self.begun

    def note(self, text):
        self.lines.append(f'{self.now:9.3f} {text}')

    def note_start(self, worker, item, run, order):
        self.starts.append((self.now, worker.name, item, run))
        kept = {k: v for k, v in order.items() if k in ('checkpoint',)}
        self.note(f'{worker.name}: start {item} run {run} {kept or ""}')

    def note_end(self, worker, item, run, how):
        self.ends.append((self.now, worker.name, item, run, how))
        self.note(f'{worker.name}: end {item} run {run} {how}')

    def note_acked(self, worker, item, run, how):
        self.acked.append((self.now, worker.name, item, run, how))
        self.note(f'{worker.name}: end {item} run {run} {how} is taken note of')

    def find_gang(self, item, run):
        """Find the members of a gang that are present."""
        step = item.rpartition('.')[0] + '.'
        return [
            (worker, member)
            for worker in self.workers.values()
            if worker.is_up
            for member, found in worker.running.items()
            if member.startswith(step) and found['run'] == run
        ]

    def where(self, item):
        """Find the workers that are up and run a work item."""
        return [
            worker.name for worker in self.workers.values()
            if worker.is_up and item in worker.running
        ]

    # Stand-ins

    async def add_worker(self, name, service, machine=None, born_again=False, **kw):
        machine = machine or f'm-{name}'
        old = self.workers.get(name)
        if born_again and old is not None:
            host, port = old.host, old.port
        else:
            host, port = f'{self.base}.{self.next_address}', 18080
            self.next_address += 1
        worker = Worker(self, name, service, machine, host, port, **kw)
        self.workers[name] = worker
        self.machines[machine] = {
            'machine': machine, 'pool': service, 'state': 'up',
            'zone': worker.zone, 'labels': [worker.kind, worker.rack],
            'capacity': {'cpu': worker.cpu, 'mem_mb': worker.mem, 'gpu': 0},
            'id': name,
        }
        await worker.start()
        return worker

    def set_machine(self, worker, state):
        self.machines[worker.machine]['state'] = state

    async def _cloud(self, method, path, headers, body):
        if path.startswith('/hornbeamstair/machines'):
            return 200, {
                'machines': [dict(row) for row in self.machines.values()],
                'next_token': None,
            }
        order = json.loads(body)
        self.note(f'platform: {path} {order} by {headers.get("x-duty-holder")} '
                  f'fence {headers.get("x-fencing-token")}')
        self.moves.append((self.now, path, order))
        machine = self.machines.get(order.get('machine'))
        if machine is None:
            return 400, {}
        if machine['state'] != 'up':
            return 409, {'reason': 'busy'}
        worker = self.workers[machine['id']]
        if path.endswith('machine-move'):
            if machine['pool'] == order['pool']:
                return 200, {}
            asyncio.create_task(self._renew(worker, order['pool'], 'moving', 1.5))
            return 200, {}
        if path.endswith('machine-upkeep'):
            asyncio.create_task(
                self._renew(worker, worker.service, 'upkeep', 2.0)
            )
            return 200, {}
        return 404, {}

    async def _renew(self, worker, pool, state, seconds):
        row = self.machines[worker.machine]
        row['state'] = state
        row['pool'] = pool
        worker.crash()
        await asyncio.sleep(seconds)
        name = f'{worker.machine}-{int(time.time() * 1000)}'
        await self.add_worker(
            name, pool, machine=worker.machine, rack=worker.rack,
            kind=worker.kind, cpu=worker.cpu, mem=worker.mem, zone=worker.zone,
        )

    # Life of the deployment

    async def start(self, services, routes, standby=()):
        if not (ROOT / 'target/deps').is_dir():
            raise CannotRun('the build of the deploy file is missing')
        cloud = Server(f'{self.base}.250', self.cloud_port, self._cloud)
        await cloud.start()
        self.servers.append(cloud)
        for process in (*self.controls, *self.entries):
            process.start(bootstrap=True)
        self.manifest = {
            'version': 0,
            'routes': routes,
            'services': [
                {'name': name, 'health_path': '/healthz', 'max_connections': 64,
                 'protocol': 'h1', 'tls': False, 'admission_check': False,
                 'standby': name in standby}
                for name in (*services, *standby)
            ],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
        }
        await self.put_manifest()
        await self.wait_ready()

    async def wait_ready(self, seconds=15):
        end = self.now + seconds
        for entry in self.entries:
            while True:
                status, _ = await call(
                    entry.ip, self.ready_port, 'GET', '/hornbeamstair/readyz',
                    seconds=1.0,
                )
                if status == 200:
                    break
                if self.now > end:
                    raise CannotRun(f'{entry.name} is not ready')
                await asyncio.sleep(0.1)

    async def put_manifest(self, seconds=15, **changes):
        self.manifest.update(changes)
        self.version += 3
        self.manifest['version'] = self.version
        return await self.send_manifest(dict(self.manifest), seconds)

    async def send_manifest(self, document, seconds=15):
        end = self.now + seconds
        at = 0
        while self.now < end:
            control = self.controls[at % 3]
            at += 1
            status, _ = await call(
                control.ip, self.control_port, 'PUT', '/hornbeamstair/config',
                document, seconds=1.0,
            )
            self.note(f'operator: manifest {document["version"]} to '
                      f'{control.name}: {status}')
            if status and status not in (408, 429) and status < 500:
                return status
            await asyncio.sleep(0.2)
        raise CannotRun('no manifest was acknowledged')

    async def ask(self, method, path, body=None, entry=0, seconds=3.0, host=HOST):
        process = self.entries[entry % len(self.entries)]
        status, answer = await call(
            process.ip, self.front_port, method, path, body,
            {'Host': host, 'X-Deadline-Ms': str(int(seconds * 1000))}, seconds,
        )
        shown = json.dumps(answer) if isinstance(answer, dict) else answer
        self.note(f'caller: {method} {path} at {process.name}: {status} {shown}')
        return status, answer

    async def submit(self, prefix, phases, plan, job=None, tries=6, **fields):
        """Hand in a job; the worker finds the plan of each step in the spec."""
        job = job or f'{self.random.getrandbits(64):016x}'
        body = {'spec': json.dumps(plan), 'phases': phases, **fields}
        for at in range(tries):
            status, _ = await self.ask('POST', f'{prefix}{job}', body, entry=at)
            if 200 <= status < 300:
                return job
            await asyncio.sleep(0.3)
        raise CannotRun(f'job {job} was not accepted')

    async def wait_for(self, condition, seconds, what):
        end = self.now + seconds
        while not condition():
            if self.now > end:
                raise CannotRun(f'timed out waiting for: {what}')
            await asyncio.sleep(0.05)

    def find_leader(self):
        """Find the control process that leads, from the logs."""
        latest = (-1, None)
        for control in self.controls:
            for line in control.log.read_text(errors='replace').splitlines():
                if '"holder_changed"' in line:
                    fields = json.loads(line)
                    if fields.get('holds'):
                        latest = max(
                            latest, (fields['fencing_token'], control.name)
                        )
        return next(c for c in self.controls if c.name == latest[1])

    def close(self):
        for process in (*self.controls, *self.entries):
            if process.popen is not None and process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait()
        for worker in self.workers.values():
            for task in worker.tasks:
                task.cancel()
            worker.server.close()
        for server in self.servers:
            server.close()
        if os.environ.get('KEEP'):
            print('kept', self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case, limit=115):
    """Run a case; it returns the breaks that it has seen."""

    async def play(world):
        async with asyncio.timeout(limit):
            return await case(world)

    world = World(folder)
    code = 2
    try:
        breaks = asyncio.run(play(world))
        for text in breaks:
            world.note(f'BROKEN {text}')
        world.note('the rule was broken' if breaks else 'the rule held')
        code = 1 if breaks else 0
    except (CannotRun, TimeoutError, OSError) as error:
        world.note(f'could not run: {error!r}')
    finally:
        world.close()
        (world.case / 'record.txt').write_text('\n'.join(world.lines) + '\n')
    print(world.lines[-1].strip())
    return code
