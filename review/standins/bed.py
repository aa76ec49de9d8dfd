"""A small deployment on loopback: the project's own programs, the store, workers and clients.

The programs are started with the commands of the deploy file, one settings file each, and started
again after a short delay if they end by themselves, as the platform does it.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import http11
import store

ROOT = pathlib.Path(__file__).resolve().parents[2]
STAND_INS = pathlib.Path(__file__).resolve().parent
RESTART_S = 0.5
READY_S = 20.0
TRAFFIC_AFTER_S = 12.0
PASSED = ('PATH', 'HOME', 'LANG')
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
CLASSES = {
    'edge': 'cpu_share = 0.817\ncores = 1\nmemory_mb = 300\nmax_fds = 4100\nlink_mbps = 1000.0',
    'side': 'cpu_share = 0.86\ncores = 1\nmemory_mb = 232\nmax_fds = 4096\nlink_mbps = 2000.0',
}
SETTINGS = """node_name = "{name}"
role = "{role}"
machine_class = "{on}"
serves = {serves}
ip = "{ip}"
zone = "zone-a"
region = "region-a"
internal_ports = [{inner},{inner}]
seeds = {seeds}
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
zone-a = "region-a"
[bind]
{bind}
[limits]
{limits}
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_ms = 3000
ack_ms = 4000
sync_s = 4
drain_ms = 2000
grace_s = 8
lost_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_slack = 56
recover_s = 12
pass_ms = 120
again_s = 10
settle_ms = 1500
[provider]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


def free_port(host: str) -> int:
    """Return a port that is free at an address now."""
    with socket.socket() as one:
        one.bind((host, 0))
        return one.getsockname()[1]


class Record:
    """What was sent, answered and run, in ``record.txt`` of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w', buffering=1)
        self._began = time.time()

    def line(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f'{time.time() - self._began:8.3f} {text}\n')

    def said(self, text: str) -> None:
        """Write one line, and show it."""
        self.line(text)
        print(text, flush=True)


class Program:
    """One of the project's own programs, on a machine of its own."""

    def __init__(self, bed: 'Bed', role: str, number: int) -> None:
        declared = bed.deploy['roles'][role]
        self.name = f'{role}-{number}'
        self.ends: list[int] = []
        self.ip = bed.address()
        self.front = f'{self.ip}:{free_port(self.ip)}'
        self.ready = f'{self.ip}:{free_port(self.ip)}'
        self.control = f'{self.ip}:{free_port(self.ip)}'
        self._bed = bed
        self._command = declared['run'].split()
        self._fields = {
            'name': self.name,
            'role': role,
            'on': declared['on'],
            'serves': json.dumps(declared['serves']),
            'ip': self.ip,
            'inner': free_port(self.ip),
            'limits': CLASSES[declared['on']],
            'bind': '',
        }
        if 'edge' in declared['serves']:
            self._fields['bind'] = (
                f'front = "{self.front}"\nready = "{self.ready}"\ncontrol = "{self.control}"'
            )
        self.process: subprocess.Popen | None = None

    def write_settings(self) -> pathlib.Path:
        """Write the settings file."""
        bed = self._bed
        path = bed.folder / f'{self.name}.toml'
        seeds = json.dumps([one.control for one in bed.programs if 'router' in one.name][:3])
        path.write_text(SETTINGS.format(**self._fields, seeds=seeds, store=bed.store_address))
        return path

    def start(self) -> None:
        """Write the settings file and start the process."""
        bed = self._bed
        path = self.write_settings()
        env = {name: os.environ[name] for name in PASSED if name in os.environ}
        env['ENDIVESADDLE_NODE_FILE'] = str(path)
        # The platform puts the built libraries on Python's path, and leaves the sources unwritten.
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        log = (bed.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            self._command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        bed.record.line(f'started {self.name} ({" ".join(self._command)})')

    async def keep(self) -> None:
        """Start the process again whenever it has ended, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            if self.process is not None and self.process.poll() is not None:
                self.ends.append(self.process.returncode)
                self._bed.record.line(
                    f'{self.name} ended with {self.process.returncode}: {self.tail()}'
                )
                await asyncio.sleep(RESTART_S)
                self.start()

    def log_text(self) -> str:
        """Return what the process has written."""
        return (self._bed.folder / f'{self.name}.log').read_text(errors='replace')

    def tail(self) -> str:
        """Return the last line of what the process has written."""
        lines = [line for line in self.log_text().splitlines() if line.strip(' |+-')]
        return lines[-1].strip()[:200] if lines else ''


class WorkerProcess:
    """One worker, whose check-ins go to the store while it runs."""

    def __init__(self, bed: 'Bed', settings: dict) -> None:
        self.settings = settings
        self.process: asyncio.subprocess.Process | None = None
        self._bed = bed

    async def start(self, name: str) -> None:
        """Start a new lifetime."""
        settings = {**self.settings, 'id': name}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(STAND_INS / 'worker.py'),
            json.dumps(settings),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._bed.record.line(f'started worker {name} at {settings["address"]}')
        self._bed.spawn(self._beats(self.process))

    def kill(self) -> None:
        """Crash it."""
        self.process.send_signal(signal.SIGKILL)
        self._bed.record.line(f'killed the worker at {self.settings["address"]}')

    def garble(self, seconds: float) -> None:
        """Let it spoil answers for some seconds."""
        self.process.stdin.write(f'{seconds}\n'.encode())

    async def _beats(self, process: asyncio.subprocess.Process) -> None:
        while line := await process.stdout.readline():
            said = json.loads(line)
            self._bed.store.beat(said['key'], json.dumps(said['entry']).encode())


class Answer:
    """What a client got: ``status`` 0 if the channel ended without a head."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.whole = False


class Bed:
    """The deployment of one case; used as an asynchronous context manager."""

    def __init__(self, case: pathlib.Path) -> None:
        self.record = Record(case)
        self.deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.store = store.Store()
        self.programs: list[Program] = []
        self.workers: list[WorkerProcess] = []
        self.store_address = ''
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self._network = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        self._last = 0
        self._tasks: list[asyncio.Task] = []
        self._attempts = 0
        self._prefix = f'{random.getrandbits(40):010x}'

    async def __aenter__(self) -> 'Bed':
        """Start the store."""
        ip = self.address()
        port = free_port(ip)
        self.store_address = f'{ip}:{port}'
        await http11.serve(ip, port, self.store.channel)
        self.spawn(self.store.run())
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        processes = [one.process for one in (*self.programs, *self.workers) if one.process]
        for process in processes:
            if process.returncode is None:
                try:
                    process.kill()
                except ProcessLookupError:
                    continue
        for worker in self.workers:
            if worker.process:
                await worker.process.wait()
        for program in self.programs:
            if program.process:
                program.process.wait()
        self._temporary.cleanup()

    def address(self) -> str:
        """Return the loopback address of a new machine."""
        self._last += 1
        return f'{self._network}.{self._last}'

    def spawn(self, work) -> asyncio.Task:  # noqa: ANN001
        """Run something beside the case."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    def configure(self, config: dict) -> None:
        """Write a configuration as the operator."""
        self.record.line(f'the operator writes {json.dumps(config)}')
        self.store.put('op/config', json.dumps({'limits': LIMITS, **config}).encode())

    def add_worker(self, service: str, **settings: object) -> WorkerProcess:
        """Return a worker that is not started yet."""
        ip = self.address()
        named = {
            'service': service,
            'address': f'{ip}:{free_port(ip)}',
            'zone': 'zone-a',
            'log': str(self.folder / 'workers.log'),
            **settings,
        }
        self.workers.append(WorkerProcess(self, named))
        return self.workers[-1]

    async def start(self, routers: int, sidecars: int) -> list[Program]:
        """Start the programs, and wait until the routers count as ready."""
        roles = ['router'] * routers + ['sidecar'] * sidecars
        self.programs = [Program(self, role, number) for number, role in enumerate(roles)]
        for program in self.programs:
            program.start()
            self.spawn(program.keep())
        found = self.programs[:routers]
        end = time.monotonic() + READY_S
        for router in found:
            while not await self.is_ready(router):
                if time.monotonic() > end:
                    raise CouldNotRun(f'{router.name} is not ready: {router.tail()}')
                await asyncio.sleep(0.1)
        # The sheets say when traffic starts after the machines.
        await asyncio.sleep(TRAFFIC_AFTER_S)
        return found

    async def is_ready(self, router: Program) -> bool:
        """Return whether a router says that it is ready."""
        answer = Answer()
        try:
            await asyncio.wait_for(self._exchange(router.ready, b'GET /ready', {}, answer), 1)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    def attempt_id(self) -> str:
        """Return the id of a new client attempt."""
        self._attempts += 1
        return f'{self._prefix}{self._attempts:06x}'

    async def send(
        self, router: Program, method: str, path: str, headers: dict[str, str], deadline_ms: int
    ) -> Answer:
        """Send one client attempt on a new channel, and return what came by its deadline."""
        answer = Answer()
        named = {'Deadline-Ms': str(deadline_ms), **headers}
        name = headers['Attempt-Id']
        self.record.line(f'{name} sent to {router.name}: {method} {path}')
        try:
            await asyncio.wait_for(
                self._exchange(router.front, f'{method} {path}'.encode(), named, answer),
                deadline_ms / 1000,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.line(f'{name} ended with {type(error).__name__}')
        said = answer.headers.get('retry-after', '')
        self.record.line(
            f'{name} answered {answer.status}, {len(answer.body)} bytes, whole: {answer.whole}'
            + (f', Retry-After {said}' if said else '')
        )
        return answer

    async def _exchange(
        self, address: str, line: bytes, headers: dict[str, str], answer: Answer
    ) -> None:
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            named = {'Host': 'app.example', **headers, 'Content-Length': '0'}
            lines = [f'{name}: {text}' for name, text in named.items()]
            writer.write(line + b' HTTP/1.1\r\n' + '\r\n'.join(lines).encode() + b'\r\n\r\n')
            first, answer.headers = await http11.read_head(reader)
            answer.status = int(first.split(' ')[1])
            if answer.headers.get('transfer-encoding', '') == 'chunked':
                while chunk := await http11.read_chunk(reader):
                    answer.body += chunk
            else:
                answer.body = await http11.read_body(reader, answer.headers)
            answer.whole = True
        finally:
            writer.close()

    def worker_lines(self) -> list[dict]:
        """Return what the workers have logged."""
        path = self.folder / 'workers.log'
        lines = path.read_text().splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    def record_workers(self) -> None:
        """Copy the workers' log into the record."""
        for line in self.worker_lines():
            self.record.line(f'worker: {json.dumps(line)}')


class CouldNotRun(Exception):
    """The case could not run."""


def run(case: pathlib.Path, body) -> None:  # noqa: ANN001
    """Run a case, and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def whole() -> int:
        # Told to stop, it ends its processes as well.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        bed = Bed(case)
        async with bed:
            try:
                broken = await body(bed)
            except CouldNotRun as error:
                bed.record.said(f'could not run: {error}')
                return 2
        bed.record.said('the rule is broken' if broken else 'the rule holds')
        return 1 if broken else 0

    try:
        code = asyncio.run(asyncio.wait_for(whole(), 115))
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:  # noqa: BLE001
        # Any failure of the test itself.
        print(f'could not run: {type(error).__name__} {error}')
        code = 2
    sys.exit(code)
