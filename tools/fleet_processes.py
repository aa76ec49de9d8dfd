"""Start a small fleet as processes of their own, for benches: stand-ins, routers, sidecars.

Everything listens on ephemeral loopback ports; ``Fleet.stop`` ends what was started here.
"""

import contextlib
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from typing import NamedTuple

import httpx
import msgspec

from endivesaddle.operators.access import token_digest

BIN = pathlib.Path(sys.executable).parent
KEY = 'bench-caller-key'
TOKEN = 'bench-operator-token'
MODEL = 'bench'
DATA_CENTRE = 'porto-a'
START_S = 60
LOOK_S = 0.1
TICKS_A_SECOND = os.sysconf('SC_CLK_TCK')
NANOSECONDS = 1_000_000_000
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_UTIME, _STIME, _RSS_PAGES = 11, 12, 21


class Usage(NamedTuple):
    """What a process has used so far, and holds now.

    ``queued_s`` is the time that it was ready to run and got no processor: where it
    is large, other work on the machine holds the process back.
    """

    at_s: float
    cpu_s: float
    queued_s: float
    rss_bytes: int


class Process(NamedTuple):
    """A process of the fleet, and where it answers."""

    name: str
    running: subprocess.Popen[bytes]
    http_url: str
    address: str

    def usage(self) -> Usage:
        """Return its processor time and resident memory, by the kernel's count."""
        stat = pathlib.Path(f'/proc/{self.running.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[_UTIME]) + int(fields[_STIME])
        rss_bytes = int(fields[_RSS_PAGES]) * PAGE_BYTES
        schedule = pathlib.Path(f'/proc/{self.running.pid}/schedstat').read_text().split()
        queued_s = int(schedule[1]) / NANOSECONDS
        return Usage(time.perf_counter(), ticks / TICKS_A_SECOND, queued_s, rss_bytes)


class Fleet:
    """Stand-ins, one or more routers and a sidecar for each engine, all started here."""

    def __init__(self, directory: pathlib.Path, speed: tuple[str, ...]) -> None:
        """Start the stand-ins; ``speed`` is that of their engines."""
        self._directory = directory
        self._running: list[subprocess.Popen[bytes]] = []
        command = [sys.executable, '-m', 'endivesaddle.stand_ins.demo_servers', *speed]
        output = self._start('stand-ins', command, {})
        lines = _wait(output, 'labels-1')
        self.urls = dict(line.split(' ', 1) for line in lines.splitlines())
        self.stand_ins = Process('stand-ins', self._running[0], '', '')
        self.routers: list[Process] = []
        self.sidecars: list[Process] = []

    def add_router(self) -> None:
        """Start a router; the first of them is the seed of all others."""
        name = f'router-{len(self.routers) + 1}'
        self.routers.append(self._daemon('router', name, ['--bootstrap-token', TOKEN]))

    def add_sidecar(self, server: str, engine: str) -> None:
        """Start the sidecar of a backend server, which a stand-in engine plays."""
        self.urls[server] = self.urls[engine]
        beside = ['--server', server, '--server-url', self.urls[server]]
        self.sidecars.append(self._daemon('sidecar', f'sidecar-{server}', beside))

    def declare(self, budget_tokens: int) -> None:
        """Bring a model, an account and the engines into force, and wait until they serve."""
        documents = [
            f'[data_centres]\n{DATA_CENTRE} = "north"',
            f'[models.{MODEL}]',
            f'[operators.bench]\ntoken_digest = "{token_digest(TOKEN)}"\nrole = "operator"',
            f'[accounts.bench]\nkey_digests = ["{token_digest(KEY)}"]',
            f'budget_tokens = {budget_tokens}\nmax_queued = 10000',
        ]
        for sidecar in self.sidecars:
            server = sidecar.name.removeprefix('sidecar-')
            documents.append(
                f'[servers.{server}]\ndata_centre = "{DATA_CENTRE}"\nurl = "{self.urls[server]}"\n'
                f'kind = "engine"\nmodels = ["{MODEL}"]\nslots = 1000'
            )
        self.command('\n'.join(['apply base:0', *documents]))
        self._until_serving()

    def command(self, line: str) -> dict[str, object]:
        """Run an operators' command at the first router."""
        answer = httpx.post(
            f'{self.routers[0].http_url}/operators/v1/command',
            json={'line': line},
            headers={'authorization': f'Bearer {TOKEN}'},
            timeout=START_S,
        )
        answer.raise_for_status()
        return dict(answer.json())

    def stop(self) -> None:
        """Tell all processes that were started here to stop, and wait for them."""
        for running in reversed(self._running):
            running.terminate()
            running.wait()

    def _until_serving(self) -> None:
        until_s = time.perf_counter() + START_S
        while time.perf_counter() < until_s:
            rows = self.command('servers')['rows']
            held = [self._budgets_held(router) for router in self.routers]
            if all(held) and all(row['state'] == 'live' for row in rows):  # type: ignore
                return
            time.sleep(LOOK_S)
        raise TimeoutError('the fleet does not serve')

    def _budgets_held(self, router: Process) -> bool:
        headers = {'authorization': f'Bearer {TOKEN}'}
        state = httpx.get(f'{router.http_url}/dump', headers=headers).json()
        shards = state.get('budgets', {}).get('shards', {})
        return len(shards) > 0 and all(shard.get('recovered') for shard in shards.values())

    def _daemon(self, role: str, name: str, flags: list[str]) -> Process:
        variables = {
            'ENDIVESADDLE_STORE_URLS': self.urls['store'],
            'ENDIVESADDLE_STORE_READS_PER_S': '500',
            'ENDIVESADDLE_STORE_WRITES_PER_S': '200',
            'ENDIVESADDLE_DATA_CENTRE': DATA_CENTRE,
            'ENDIVESADDLE_INSTANCE': name,
            'ENDIVESADDLE_SEEDS': ','.join(router.address for router in self.routers),
            'ENDIVESADDLE_LOG_FORMAT': 'json',
            'ENDIVESADDLE_NOTICE_S': '0',
            'ENDIVESADDLE_LOG_LEVEL': 'INFO',
        }
        output = self._start(name, [str(BIN / 'endivesaddled'), role, *flags], variables)
        lines = _wait(output, '"process_started"').splitlines()
        events = [msgspec.json.decode(line) for line in lines if line.startswith('{')]
        started = next(event for event in events if event['name'] == 'process_started')
        http_url = f'http://{started["http_address"]}'
        return Process(name, self._running[-1], http_url, started['address'])

    def _start(self, name: str, command: list[str], variables: dict[str, str]) -> pathlib.Path:
        path = self._directory / name
        with path.open('wb') as output:
            self._running.append(
                subprocess.Popen(
                    command, stdout=output, stderr=output, env={**os.environ, **variables}
                )
            )
        return path


@contextlib.contextmanager
def open_fleet(speed: tuple[str, ...] = ()) -> Iterator[Fleet]:
    """Start the stand-ins of a fleet; end all its processes at the end."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(pathlib.Path(directory), speed)
        try:
            yield fleet
        finally:
            fleet.stop()


def _wait(path: pathlib.Path, text: str) -> str:
    """Return the output of a process once it says ``text``."""
    until_s = time.perf_counter() + START_S
    while time.perf_counter() < until_s:
        output = path.read_text()
        if text in output:
            return output
        time.sleep(LOOK_S)
    raise TimeoutError(f'{path.name} did not start: {output}')
