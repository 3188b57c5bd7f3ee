"""Small deployment of the project's programs with stand-ins; standard library only."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SERVICE = 'grinding'
HOST = 'calls.example'
PREFIX = '/jobs/'
BOUNDS = {
    'seed_lag_s': 3, 'addr_reuse_s': 2, 'contact_ms': 3000, 'ack_ms': 4000,
    'catch_up_s': 4, 'drain_ms': 2000, 'grace_s': 6, 'loss_slack_ms': 200,
    'config_apply_ms': 2000, 'downgrade_slack_ms': 250,
    'unsettled_max_ms': 5000, 'recovery_s': 12, 'hold_max_ms': 6000,
    'stop_timeout_ms': 200, 'gang_timeout_ms': 3000, 'cancel_ms': 3000,
    'visible_ms': 3000, 'early_ms': 250, 'finish_s': 14, 'status_s': 120,
    'cross_rack_factor': 3, 'checkpoint_s': 2, 'restore_ms': 600,
    'notice_ms': 4500, 'migrate_s': 1.5, 'maintenance_s': 2,
    'fencing_enforced': True, 'lease_ms': 3000, 'thaw_slack_ms': 300,
    'pace_ms': 100, 'interference_ms': 4000,
}


class CannotRun(Exception):
    """The case could not be set up; it says nothing about the rule."""


class Record:
    """File that lists what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(Path(folder) / 'record.txt', 'w', encoding='utf-8')
        self.lock = threading.Lock()
        self.started = time.monotonic()

    def add(self, source, text):
        with self.lock:
            at = time.monotonic() - self.started
            self.file.write(f'{at:8.3f} {source:12} {text}\n')
            self.file.flush()


used_ports = set()


def free_port():
    while True:
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            port = probe.getsockname()[1]
        if port not in used_ports:
            used_ports.add(port)
            return port


def http_call(address, method, path, fields=None, headers=None, timeout=1.0):
    """Return the status and the decoded body; status 0 without a response."""
    ip, port = address
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    body = None if fields is None else json.dumps(fields)
    head = {'Content-Type': 'application/json', **(headers or {})}
    try:
        connection.request(method, path, body, head)
        response = connection.getresponse()
        payload = response.read()
        return response.status, json.loads(payload) if payload else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        connection.close()


class Server(ThreadingHTTPServer):
    """HTTP server whose open connections can be reset."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, address, handler):
        self.open = set()
        self.open_lock = threading.Lock()
        super().__init__(address, handler)

    def process_request(self, request, client_address):
        with self.open_lock:
            self.open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self.open_lock:
            self.open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Ignore connections that the peer closed."""

    def abort(self):
        """Stop listening and drop all connections, as a crash does."""
        self.shutdown()
        self.server_close()
        with self.open_lock:
            left = list(self.open)
        for connection in left:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def serve(address, answer):
    """Serve `answer(method, path, headers, fields) -> (status, fields) | None`."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'
        disable_nagle_algorithm = True

        def handle_any(self):
            size = int(self.headers.get('Content-Length') or 0)
            payload = self.rfile.read(size) if size else b''
            try:
                fields = json.loads(payload) if payload else {}
            except ValueError:
                fields = {}
            outcome = answer(self.command, self.path, self.headers, fields)
            if outcome is None:
                self.close_connection = True
                return
            status, reply = outcome
            body = json.dumps(reply).encode()
            head = (
                f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            )
            self.wfile.write(head.encode() + body)

        do_GET = do_PUT = do_POST = do_DELETE = handle_any

        def log_message(self, *arguments):
            """Write no log."""

    server = Server(address, Handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class Deployment:
    """Three control processes, one entry process, and a stand-in platform."""

    def __init__(self, record, machines=()):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.net = f'127.{random.randrange(16, 250)}.{random.randrange(1, 250)}'
        self.internal = free_port()
        self.control_port = free_port()
        self.entry_port = free_port()
        self.ready_port = free_port()
        self.processes = {}
        self.controls = {f'control-{n}': f'{self.net}.{n + 1}' for n in (1, 2, 3)}
        self.entry = f'{self.net}.20'
        self.platform = Platform(record, (f'{self.net}.30', free_port()), machines)

    def control_address(self, name):
        return self.controls[name], self.control_port

    def write_settings(self, name, role, ip, zone, bootstrap):
        seeds = ','.join(f'"{a}:{self.control_port}"' for a in self.controls.values())
        lines = [
            f'node_name = "{name}"', f'role = "{role}"',
            f'machine_class = "{"core" if role == "control" else "frontend"}"',
            f'serves = ["{"control" if role == "control" else "frontend"}"]',
            f'ip = "{ip}"', f'zone = "{zone}"', 'region = "r"',
            f'internal_ports = [{self.internal},{self.internal + 15}]',
            f'seed_nodes = [{seeds}]',
            f'bootstrap = {str(bootstrap).lower()}',
            f'is_counted = {str(role == "control").lower()}',
            'discovery = "registry"', 'entry = "vip"', 'heartbeat_ms = 1500',
            'contracts = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]',
            'config_mode = "highest"', 'orders = "call"',
        ]
        if role == 'control':
            data = self.folder / f'{name}-data'
            data.mkdir(exist_ok=True)
            lines.append(f'data_dir = "{data}"')
        lines += ['[zones]', 'z1 = "r"', 'z2 = "r"', 'z3 = "r"', '[listen]']
        if role == 'control':
            lines.append(f'control_plane = "{ip}:{self.control_port}"')
        else:
            lines.append(f'frontend = "{ip}:{self.entry_port}"')
            lines.append(f'ready = "{ip}:{self.ready_port}"')
        lines += ['[limits]', 'memory_mb = 296', 'max_fds = 4096',
                  '[fault_tolerance]', 'machines = 1', 'zones = 1', 'regions = 0',
                  '[bounds]']
        lines += [f'{key} = {json.dumps(value)}' for key, value in BOUNDS.items()]
        ip_port = '{}:{}'.format(*self.platform.address)
        lines += ['[cloud_api]', f'address = "{ip_port}"', 'rate_per_s = 64.0',
                  'duties = []', 'duty_per_s = 64.0']
        path = self.folder / f'{name}.toml'
        path.write_text('\n'.join(lines) + '\n')
        return path

    def start_process(self, name, role, ip, zone, bootstrap=True):
        path = self.write_settings(name, role, ip, zone, bootstrap)
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ
        }
        environment['HORNBEAMSTAIR_NODE_FILE'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        log = open(self.folder / f'{name}.log', 'ab')
        self.processes[name] = subprocess.Popen(
            ['python3', 'platform/launch.py', role], cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log,
        )
        self.record.add(name, f'started as {role}')

    def start(self):
        for number, (name, ip) in enumerate(self.controls.items(), 1):
            self.start_process(name, 'control', ip, f'z{number}')
        self.start_process('entry-1', 'entry', self.entry, 'z1')
        self.wait(self.find_leader, 20, 'a leader')

    def find_leader(self):
        """Return the process that acts as the leader, from the logs."""
        terms = {}
        for name in self.controls:
            for line in (self.folder / f'{name}.log').read_text().splitlines():
                if '"holder_changed"' in line:
                    fields = json.loads(line)
                    if fields.get('holds'):
                        terms[fields['fencing_token']] = name
        return terms[max(terms)] if terms else None

    def wait(self, condition, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = condition()
            if found:
                return found
            time.sleep(0.05)
        raise CannotRun(f'timed out waiting for {what}')

    def signal(self, name, number):
        self.record.add(name, f'gets {signal.Signals(number).name}')
        self.processes[name].send_signal(number)

    def put_manifest(self, version=7, extra_routes=0, **route):
        manifest = {
            'version': version,
            'routes': [{
                'name': 'r-1', 'host': HOST, 'path_prefix': PREFIX, 'kind': 'unsafe',
                'timeout_ms': 3000, 'completion_target_ms': 600, 'priority': 0,
                'service': SERVICE, 'max_attempts': 2, 'stretch': 1.6, **route,
            }, *[{
                'name': f'r-idle{number:04}', 'host': 'idle.example',
                'path_prefix': f'/idle{number:04}/', 'kind': 'unsafe', 'timeout_ms': 3000,
                'completion_target_ms': 2500, 'priority': 0, 'service': SERVICE,
                'max_attempts': 2, 'stretch': 2.2,
            } for number in range(extra_routes)]],
            'services': [{
                'name': SERVICE, 'health_path': '/healthz', 'max_connections': 64,
                'protocol': 'h1', 'tls': False, 'admission_check': False, 'standby': False,
            }],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
        }

        def put():
            for name in [*self.controls][::-1]:
                status, _ = http_call(self.control_address(name), 'PUT',
                                      '/hornbeamstair/config', manifest)
                self.record.add('operator', f'PUT config version {version} at {name}: {status}')
                if status == 200:
                    return True
            return False

        self.wait(put, 10, 'the manifest')

    def call(self, method, path, fields=None):
        status, reply = http_call(
            (self.entry, self.entry_port), method, PREFIX + path, fields,
            {'Host': HOST, 'X-Deadline-Ms': '3000'}, timeout=3,
        )
        self.record.add('consumer', f'{method} {path}: {status} {json.dumps(reply)}')
        return status, reply

    def submit(self, job, phases, **more):
        fields = {'spec': 'text', 'phases': phases, **more}
        self.record.add('consumer', f'job {job}: {json.dumps(fields)}')
        for _ in range(5):
            status, _ = self.call('POST', job, fields)
            if status == 200:
                return
            time.sleep(0.3)
        raise CannotRun('the job was not accepted')

    def close(self):
        for process in self.processes.values():
            try:
                process.send_signal(signal.SIGCONT)
                process.kill()
            except OSError:
                pass
        for process in self.processes.values():
            process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Platform:
    """Stand-in of the platform's API for its machines."""

    def __init__(self, record, address, machines):
        self.record = record
        self.address = address
        self.machines = {machine['machine']: dict(machine) for machine in machines}
        self.lock = threading.Lock()
        # Called with the fields of an order; returns an answer, None for no answer,
        # or 'default'.
        self.on_order = lambda kind, fields, headers: 'default'
        # Whether the API answers nothing now; then it carries nothing out.
        self.is_silent = lambda: False
        self.server = serve(address, self.answer)

    def answer(self, method, path, headers, fields):
        if self.is_silent():
            while self.is_silent():
                time.sleep(0.05)
            return None
        if method == 'GET':
            with self.lock:
                return 200, {'machines': [dict(m) for m in self.machines.values()],
                             'next_token': None}
        kind = path.rpartition('-')[-1]
        token = headers.get('X-Fencing-Token')
        holder = headers.get('X-Duty-Holder')
        self.record.add('platform', f'{kind} {json.dumps(fields)} of {holder} with {token}')
        outcome = self.on_order(kind, fields, headers)
        if outcome == 'default':
            outcome = 409, {'reason': 'busy'}
        self.record.add('platform', f'{kind} of {fields.get("machine")} answered {outcome}')
        return outcome


class Worker:
    """Stand-in of a worker: one lifetime after the other, with one identifier."""

    def __init__(self, record, deployment, name, number, *, zone='z1', rack='r1-1',
                 cpu=16000, kind='a', controls=None):
        self.record = record
        self.deployment = deployment
        self.name = name
        self.address = f'{deployment.net}.{100 + number}', free_port()
        self.zone, self.rack, self.cpu, self.kind = zone, rack, cpu, kind
        self.given_controls = controls
        self.next_control = 0
        self.state = 'ready'
        self.lock = threading.Condition()
        # Called before an order is carried out: False leaves it unanswered.
        self.on_start = lambda fields: True
        # Seconds that a work item runs, and how it ends.
        self.get_end = lambda task: (3600.0, 'done')
        self.all_runs = []
        self.life = 0
        self.alive = False

    # Lifetimes

    def start(self):
        with self.lock:
            self.life += 1
            self.alive = True
            self.reports = True
            self.holds = 0
            self.born = round(time.time() * 1000)
            self.started = time.monotonic()
            self.sequence = 0
            self.token = 0
            self.lease_end = 0.0
            self.running = {}
            self.highest = {}
            self.ends = []
            self.last_end = 0
        self.server = serve(self.address, self.answer)
        life = self.life
        threading.Thread(target=self._work, args=(life,), daemon=True).start()
        self.record.add(self.name, f'life {life} starts, born {self.born}, cpu {self.cpu}')

    def stop(self):
        """End the lifetime; everything that runs ends."""
        with self.lock:
            self.alive = False
            for run in self.running.values():
                run['ended'], run['how'] = time.monotonic(), 'gone'
            self.running = {}
            self.lock.notify_all()
        self.server.abort()
        self.record.add(self.name, f'life {self.life} is over')

    def get_control(self):
        controls = list(self.given_controls or self.deployment.controls)
        return controls[self.next_control % len(controls)]

    def clock_ms(self):
        return round((time.monotonic() - self.started) * 1000)

    # Reports

    def report(self, control=None):
        """Report once; with no answer in a second, the next node is called."""
        with self.lock:
            self.sequence += 1
            fields = {
                'service': SERVICE, 'address': '{}:{}'.format(*self.address),
                'zone': self.zone, 'version': 'v1', 'slots': 8, 'state': self.state,
                'cold_remaining_ms': 0, 'sequence': self.sequence,
                'capacity': {'cpu': self.cpu, 'mem_mb': 32768, 'gpu': 0},
                'labels': [self.kind, self.rack], 'clock_ms': self.clock_ms(),
                'born': self.born,
            }
            if self.state == 'draining':
                fields['drain_remaining_ms'] = 2000
        life = self.life
        for _ in range(3):
            if self.life != life or not self.reports:
                return None
            name = control or self.get_control()
            sent_at = time.monotonic()
            status, _ = http_call(self.deployment.control_address(name), 'PUT',
                                  f'/hornbeamstair/instances/{self.name}', fields)
            self.record.add(self.name, f'report {self.sequence} {self.state} cpu {self.cpu} '
                            f'to {name}: {status} after {time.monotonic() - sent_at:.3f} s')
            if status == 200:
                return time.monotonic()
            self.next_control += 1
        return None

    def keep_reporting(self, first_after=0.0):
        """Report about every heartbeat in the background."""
        life = self.life

        def loop():
            time.sleep(first_after)
            while self.alive and self.reports and self.life == life:
                self.report()
                time.sleep(1.5)

        threading.Thread(target=loop, daemon=True).start()

    def withdraw(self):
        """Say that this lifetime ends; with no answer in a second, ask the next."""
        self.reports = False
        for _ in range(3):
            name = self.get_control()
            status, _ = http_call(self.deployment.control_address(name), 'DELETE',
                                  f'/hornbeamstair/instances/{self.name}')
            self.record.add(self.name, f'DELETE to {name}: {status}')
            if status == 200:
                return
            self.next_control += 1

    # Orders

    def answer(self, method, path, headers, fields):
        kind = path.rpartition('/')[-1]
        if kind == 'healthz':
            return 200, {}
        if headers.get('X-Expect-Instance', self.name) != self.name:
            return 421, {}
        if kind == 'run-start':
            return self._answer_start(fields)
        with self.lock:
            if not self.alive:
                return None
            if fields.get('fencing_token', 0) < self.token:
                return 409, self._reply(reason='fence')
            self.token = fields.get('fencing_token', 0)
            if kind == 'run-stop':
                return self._stop(fields)
            return self._hold(fields)

    def _reply(self, **fields):
        return {'clock_ms': self.clock_ms(), **fields}

    def _answer_start(self, fields):
        if not self.on_start(fields):
            self.record.add(self.name, f'start {fields["task"]} run {fields["run_number"]} '
                            'stays unanswered')
            while self.alive:
                time.sleep(0.05)
            return None
        return self.carry_out_start(fields)

    def carry_out_start(self, fields, note=''):
        task, number = fields['task'], fields['run_number']
        with self.lock:
            if not self.alive:
                return None
            outcome = self._start(task, number, fields)
            text = outcome[1].get('reason', 'ok')
            self.record.add(self.name, f'start {task} run {number} token '
                            f'{fields["fencing_token"]}: {outcome[0]} {text} {note}')
            return outcome

    def _start(self, task, number, fields):
        if fields.get('fencing_token', 0) < self.token:
            return 409, self._reply(reason='fence')
        self.token = fields['fencing_token']
        run = self.running.get(task)
        if run is not None and run['number'] == number:
            return 200, self._reply()
        if number <= self.highest.get(task, 0):
            return 409, self._reply(reason='old')
        if fields['expires_ms'] <= self.clock_ms():
            return 409, self._reply(reason='late')
        self._extend(fields['expires_ms'])
        self.highest[task] = number
        seconds, how = self.get_end(task)
        run = {'worker': self.name, 'life': self.life, 'kind': self.kind, 'task': task, 'number': number,
               'started': time.monotonic(), 'ended': None, 'how': '', 'planned': how,
               'due': time.monotonic() + seconds}
        self.running[task] = run
        self.all_runs.append(run)
        return 200, self._reply()

    def _extend(self, expires_ms):
        limit = self.clock_ms() + BOUNDS['hold_max_ms']
        self.lease_end = max(self.lease_end, min(expires_ms, limit))

    def _stop(self, fields):
        task, number = fields['task'], fields['run_number']
        self.record.add(self.name, f'stop {task} run {number}')
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run['number'] <= number:
            self._end(task, 'stopped')
        return 200, self._reply()

    def _hold(self, fields):
        life = self.life
        self.holds += 1
        if 'expires_ms' in fields:
            self._extend(fields['expires_ms'])
        cursor = fields.get('ack_cursor', 0)
        kept = [end for end in self.ends if end[0] > cursor]
        if len(kept) < len(self.ends):
            self.record.add(self.name, f'ends up to {cursor} are taken note of')
        self.ends = kept
        until = time.monotonic() + min(fields.get('wait_ms', 0), 2000) / 1000
        while not self.ends and self.alive and self.life == life:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.lock.wait(left)
        if not self.alive or self.life != life:
            return None
        running = [[task, run['number'], '', 100, 0] for task, run in self.running.items()]
        return 200, self._reply(born=self.born, running=running, finished=self.ends[:500])

    def _end(self, task, how):
        run = self.running.pop(task)
        run['ended'] = time.monotonic()
        run['how'] = how
        self.last_end += 1
        self.ends.append([self.last_end, task, run['number'], how, ''])
        self.record.add(self.name, f'{task} run {run["number"]} ends {how}')
        self.lock.notify_all()

    def _work(self, life):
        while True:
            time.sleep(0.02)
            with self.lock:
                if not self.alive or self.life != life:
                    return
                expired = self.clock_ms() > self.lease_end
                for task, run in list(self.running.items()):
                    if expired:
                        self._end(task, 'lapsed')
                    elif time.monotonic() > run['due']:
                        self._end(task, run['planned'])


def find_double_runs(workers):
    """Find runs of one work item at the same time, on workers that are up."""
    runs = [run for worker in workers for run in list(worker.all_runs)]
    end = time.monotonic()
    for index, run in enumerate(runs):
        for other in runs[index + 1:]:
            if other['task'] != run['task']:
                continue
            both = min(run['ended'] or end, other['ended'] or end) - max(
                run['started'], other['started'])
            if both > 0:
                yield (f'TWICE: {run["task"]} runs as {run["number"]} on {run["worker"]} and '
                       f'as {other["number"]} on {other["worker"]} for {both:.3f} s')


def find_starts_after_done(workers):
    """Find the starts of work items of which a run has ended `done`."""
    runs = [run for worker in workers for run in list(worker.all_runs)]
    for done in runs:
        for run in runs:
            if (run['task'] == done['task'] and done['how'] == 'done' and done['ended']
                    and run['started'] > done['ended']):
                yield (f'TWICE: {run["task"]} is started as run {run["number"]} on '
                       f'{run["worker"]} {run["started"] - done["ended"]:.3f} s after run '
                       f'{done["number"]} has ended done on {done["worker"]}')


def run_case(folder, case, machines=()):
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""
    record = Record(folder)
    record.add('case', f'trouble: {TROUBLE}')
    deployment = None
    code = 2
    # Ends the script, and so its processes, before the limit.
    watchdog = threading.Timer(110, lambda: os.kill(os.getpid(), signal.SIGTERM))
    watchdog.daemon = True
    watchdog.start()

    def end(number, frame):
        raise CannotRun('out of time')

    signal.signal(signal.SIGTERM, end)
    try:
        deployment = Deployment(record, machines)
        problems = case(record, deployment)
        for problem in problems:
            record.add('case', f'BROKEN {problem}')
        code = 1 if problems else 0
        text = problems[0] if problems else 'held'
        record.add('case', f'result: {code}')
        print(f'{"broken" if problems else "held"}: {len(problems)} - {text}')
    except CannotRun as error:
        record.add('case', f'could not run: {error}')
        print(f'could not run: {error}')
    finally:
        if deployment is not None:
            deployment.close()
    sys.exit(code)
