"""Starts the project's programs and the stand-ins as processes on loopback, and ends them."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

import wire

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
COMMANDS = {
    'router': ['python3', '-S', 'platform/router.py'],
    'sidecar': ['python3', '-S', 'platform/sidecar.py'],
}
"""The commands of deploy/system.toml."""
CONTRACTS = [
    'base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'platform'
]  # fmt: skip
SETTINGS = """node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = []
ip = "{ip}"
zone = "porto-a"
region = "porto"
internal_ports = [{port}, {last_port}]
seeds = {seeds}
bootstrap = true
heartbeat_ms = 1200
contracts = {contracts}
[zones]
porto-a = "porto"
[bind]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
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


MOST_S = 112


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


class Node:
    """One process and what is needed to start it again."""

    def __init__(self, command: list[str], env: dict[str, str], output: pathlib.Path) -> None:
        self.command, self.env, self.output = command, env, output
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        with self.output.open('a') as output:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=self.env, stdout=output, stderr=output
            )

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Fleet:
    """All processes of one case, in a temporary folder."""

    def __init__(self, case: pathlib.Path) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record = (case / 'record.txt').open('w')
        self.began_s = time.monotonic()
        self.nodes: list[Node] = []
        # Loopback addresses of its own, so that fixed ports are free too.
        self.net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        self.store = self.address()
        self.control: list[str] = []
        self.bounds: dict[str, object] = {}
        self.contracts = CONTRACTS

    def address(self, host: int = 1) -> str:
        """Return a free address."""
        with socket.socket() as one:
            one.bind((f'{self.net}.{host}', 0))
            return f'{self.net}.{host}:{one.getsockname()[1]}'

    def note(self, text: str) -> None:
        self.record.write(f'{time.monotonic() - self.began_s:8.3f} s  {text}\n')
        self.record.flush()

    def start(self, name: str, command: list[str], env: dict[str, str] | None = None) -> Node:
        node = Node(command, {**self.environment(), **(env or {})}, self.folder / f'{name}.out')
        self.nodes.append(node)
        node.start()
        self.note(f'started {name}')
        return node

    def environment(self) -> dict[str, str]:
        kept = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        kept['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        kept['PYTHONDONTWRITEBYTECODE'] = '1'
        return kept

    def start_store(self) -> Node:
        return self.start('store', [sys.executable, str(HERE / 'store.py'), self.store])

    def start_worker(self, **settings: object) -> Node:
        defaults = {
            'address': self.address(2), 'zone': 'porto-a', 'version': 'v1', 'slots': 64,
            'store': self.store, 'log': str(self.folder / 'runs.jsonl'), 'heartbeat_s': 1.2,
        }  # fmt: skip
        text = json.dumps({**defaults, **settings})
        return self.start(str(settings['id']), [sys.executable, str(HERE / 'worker.py'), text])

    def start_process(self, role: str, number: int) -> tuple[Node, dict[str, str]]:
        """Start a router or a sidecar; returns it and its addresses."""
        host = (10 if role == 'router' else 100) + number
        ip = f'{self.net}.{host}'
        ports = {name: self.address(host).partition(':')[2] for name in ('front', 'ready')}
        ports['control'] = self.address(host).partition(':')[2]
        port = int(self.address(host).partition(':')[2])
        if role == 'router':
            self.control.append(f'{ip}:{ports["control"]}')
        text = SETTINGS.format(
            name=f'{role}-{number}', role=role, ip=ip, port=port, last_port=port + 15,
            machine_class='edge' if role == 'router' else 'side', store=self.store,
            seeds=json.dumps(self.control[:3]), contracts=json.dumps(self.contracts), **ports,
        )  # fmt: skip
        for name, bound in self.bounds.items():
            text = re.sub(rf'(?m)^{name} = .*$', f'{name} = {json.dumps(bound)}', text)
        path = self.folder / f'{role}-{number}.toml'
        path.write_text(text)
        node = self.start(f'{role}-{number}', COMMANDS[role], {'ENDIVESADDLE_NODE_FILE': str(path)})
        return node, {name: f'{ip}:{one}' for name, one in ports.items()}

    def write(self, puts: dict[str, object]) -> None:
        """Write to the store as the operator."""
        document = json.dumps({'puts': puts}).encode()
        urllib.request.urlopen(f'http://{self.store}/operator', document, 2).read()

    async def wait_for(self, condition, what: str, within_s: float = 20.0) -> None:
        end_s = time.monotonic() + within_s
        while time.monotonic() < end_s:
            try:
                if await condition():
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f'{what} did not happen within {within_s} s')

    async def ready(self, address: str) -> bool:
        host, _, port = address.partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
            line, _ = await wire.read_head(reader)
            return ' 200 ' in line
        except EOFError:
            return False
        finally:
            writer.close()

    def runs(self) -> list[dict]:
        path = self.folder / 'runs.jsonl'
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    def end(self) -> None:
        """End all processes and delete the folder."""
        for node in reversed(self.nodes):
            node.end()
        self.record.close()
        if os.environ.get('KEEP'):
            print(f'kept {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(case: pathlib.Path, play, rule: str) -> None:
    """Play a case and exit: 0 if ``play`` returns that the rule held, 1 if not, 2 otherwise."""
    one = Fleet(case)
    status = 2
    # The processes end with the script, also if it is ended early.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(status))
    try:
        held = asyncio.run(asyncio.wait_for(play(one), MOST_S))
        one.note('the rule held' if held else f'{rule} is broken')
        status = 0 if held else 1
    except Exception as error:  # noqa: BLE001 (nothing but the rule may count as broken)
        one.note(f'could not run: {type(error).__name__} {error}')
    finally:
        one.end()
    sys.exit(status)


class Answer:
    """What one client attempt got."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.complete = False
        self.error = ''

    @property
    def events(self) -> int:
        """The number of whole events."""
        return self.body.count(b'\n\n')


async def ask(
    address: str, attempt_id: str, path: str, headers: dict[str, str], body: bytes = b'',
    on_data=None,
) -> Answer:  # fmt: skip
    """Make one client attempt on a new connection."""
    answer = Answer()
    host, _, port = address.partition(':')
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError as error:
        answer.error = f'no connection: {error}'
        return answer
    try:
        lines = [f'POST {path} HTTP/1.1', 'Host: fleet.example', f'Attempt-Id: {attempt_id}']
        lines += [f'Content-Length: {len(body)}', 'Connection: close']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        line, answer.headers = await wire.read_head(reader)
        answer.status = int(line.split(' ')[1])
        if 'content-length' in answer.headers:
            answer.body = await reader.readexactly(int(answer.headers['content-length']))
        else:
            async for chunk in wire.chunks(reader):
                answer.body += chunk
                if on_data:
                    on_data(answer)
        answer.complete = True
    except (EOFError, OSError, asyncio.IncompleteReadError) as error:
        answer.error = f'{type(error).__name__} {error}'
    finally:
        writer.close()
    return answer
