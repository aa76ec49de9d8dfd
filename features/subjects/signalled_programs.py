"""Subject: programs of the adapter as real processes that get signals in series."""

import os
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from types import MappingProxyType
from typing import Any, NamedTuple

import anyio
import httpx
import msgspec

from endivesaddle.fleet.clock import WallClock
from endivesaddle.stand_ins.etcd_serving import serve_asgi
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.kv_gateway import KvGateway
from subjects.processes_launch import Launcher, Running, open_launcher
from subjects.users_platform import CONFIG, ENTRY, FOLDER, NODE, ROUTE

GUARD_S = 60.0
WORK_S = 2.5
EVENTS = 50
IN_FLIGHT_S = 0.5
BETWEEN_S = 0.25
READY_S = 20.0
START_S = 10.0
LOOK_S = 0.05
REPEAT_S = 0.005
PATHS = ('/b/1', '/b/2', '/p/1', '/p/2')
LARGE = '/p/large/'
"""Prefix of paths that are answered at once; the rest of the path is the number of bytes."""
SEAL = (b'server-seal', b'seal')
STREAMED = MappingProxyType(
    {
        **ROUTE,
        'host': 'boards.example',
        'backends': None,
        'service': 'engines',
        'stream_resume': False,
    }
)
PLAIN = MappingProxyType(
    {**STREAMED, 'name': 'r-2', 'prefix': '/p/', 'kind': 'unsafe', 'service': 'plain'}
)
AUTHORIZED = MappingProxyType({'authorization': f'Bearer {CONFIG["tenants"][0]["api_keys"][0]}'})


class Given(NamedTuple):
    """The answer that a caller got to one request."""

    path: str
    status: int
    whole: bool


class SignalledPrograms:
    """Programs that got signals, and what became of them and of their callers."""

    def __init__(self) -> None:
        """Initialize without any."""
        self.given: list[Given] = []
        self.exit_statuses: list[int | None] = []
        self.logged: list[list[str]] = []
        self.served: list[bool] = []

    def send_series(self, series: Sequence[Sequence[str]]) -> None:
        """Send each series to a router of its own that has requests in flight."""
        anyio.run(self._guarded, self._send_all, series)

    def send_always(self, role: str) -> None:
        """Send SIGHUP and SIGUSR1 to a program from its start to its end."""
        anyio.run(self._guarded, self._send_always, role)

    async def _guarded(self, play: Any, argument: Any) -> None:
        with anyio.fail_after(GUARD_S):
            async with open_platform() as platform:
                await play(platform, argument)

    async def _send_all(self, platform: 'Platform', series: Sequence[Sequence[str]]) -> None:
        async with anyio.create_task_group() as group:
            for signals in series:
                group.start_soon(self._send, platform, signals)

    async def _send(self, platform: 'Platform', signals: Sequence[str]) -> None:
        router, address = await platform.start('router')
        await platform.until_ready(address)
        async with anyio.create_task_group() as group:
            for path in PATHS:
                group.start_soon(self._ask, platform.client, address, path)
            await anyio.sleep(IN_FLIGHT_S)
            for name in signals:
                router.signal(signal.Signals[name])
                await anyio.sleep(BETWEEN_S)
        await self._ended(router)

    async def _send_always(self, platform: 'Platform', role: str) -> None:
        program, _ = await platform.start(role)
        with anyio.move_on_after(START_S):
            while not _takes_signals(program.pid):
                await anyio.sleep(REPEAT_S)
        async with anyio.create_task_group() as group:
            group.start_soon(self._repeat, program)
            await program.line_with('"process_started"')
            self.served.append(True)
            program.signal(signal.SIGTERM)
            await self._ended(program)
            group.cancel_scope.cancel()

    async def _repeat(self, program: Running) -> None:
        while True:
            program.signal(signal.SIGHUP)
            program.signal(signal.SIGUSR1)
            await anyio.sleep(REPEAT_S)

    async def _ended(self, program: Running) -> None:
        self.exit_statuses.append(await program.has_ended())
        lines = program.events('signal_received')
        self.logged.append([line['signal'] for line in lines if 'signal' in line])

    async def _ask(self, client: httpx.AsyncClient, address: str, path: str) -> None:
        headers = {'host': 'boards.example', 'attempt-id': f'{address}{path}', **AUTHORIZED}
        try:
            answer = await client.post(f'http://{address}{path}', headers=headers)
        except httpx.TransportError:
            self.given.append(Given(path, 0, whole=False))
            return
        events = answer.content.count(b'id: ')
        whole = events == EVENTS if path.startswith('/b/') else answer.content == b'done'
        self.given.append(Given(path, answer.status_code, whole))


class Platform:
    """A store, two servers, and programs that are started beside them."""

    def __init__(
        self,
        launcher: Launcher,
        client: httpx.AsyncClient,
        store_url: str,
        folder: pathlib.Path,
        memory: MemoryStore,
    ) -> None:
        """Write the settings files of the programs to ``folder``."""
        self.client = client
        self.memory = memory
        self._launcher = launcher
        self._store_address = store_url.removeprefix('http://')
        self._folder = folder
        self._count = 0

    async def start(self, role: str) -> tuple[Running, str]:
        """Start a program; return it, and the address for callers."""
        self._count += 1
        # Programs of several test runs at once must not share an address.
        pid = os.getpid()
        ip = f'127.{64 + pid % 128}.{pid // 128 % 250}.{self._count}'
        text = NODE.replace('10.1.0.40', ip).replace('10.200.1.7:8223', self._store_address)
        name = f'{role}-{self._count}'
        path = self._folder / f'{name}.toml'
        path.write_text(text.replace('edge-1', name))
        return await self.restart(name), f'{ip}:8227'

    async def restart(self, name: str) -> Running:
        """Start a program again, with the settings file that it had."""
        command = [sys.executable, str(FOLDER / f'{name.partition("-")[0]}.py')]
        path = str(self._folder / f'{name}.toml')
        return await self._launcher.start(name, command, {'ENDIVESADDLE_NODE_FILE': path})

    async def until_ready(self, address: str) -> None:
        """Wait until a router has the declarations and the servers."""
        ready = f'http://{address.replace(":8227", ":8220")}/ready'
        with anyio.fail_after(READY_S):
            while not await self._answers(ready):
                await anyio.sleep(LOOK_S)

    async def _answers(self, url: str) -> bool:
        try:
            return (await self.client.get(url)).is_success
        except httpx.TransportError:
            return False


@asynccontextmanager
async def open_platform(plain_address: str = '') -> AsyncIterator[Platform]:
    """Yield a platform; all its processes have ended when this returns.

    The server at ``plain_address``, if it is given, serves the route that is not streamed.
    """
    clock = WallClock()
    memory = MemoryStore(clock)
    async with (
        serve_asgi(KvGateway(memory, clock)) as store_url,
        serve_asgi(_work) as engine_url,
        serve_asgi(_work) as plain_url,
        httpx.AsyncClient(timeout=GUARD_S, trust_env=False) as client,
        open_launcher({}) as launcher,
    ):
        account = {**CONFIG['tenants'][0], 'prepaid': None}
        config = {**CONFIG, 'routes': [dict(STREAMED), dict(PLAIN)], 'tenants': [account]}
        memory.put('op/config', msgspec.json.encode(config))
        for service, url in (('engines', engine_url), ('plain', plain_address or plain_url)):
            entry = {**ENTRY, 'service': service, 'address': url.removeprefix('http://')}
            memory.put(f'servers/{service}', msgspec.json.encode(entry))
        with tempfile.TemporaryDirectory() as folder:
            yield Platform(launcher, client, store_url, pathlib.Path(folder), memory)


async def _work(scope: Any, receive: Any, send: Any) -> None:
    """Answer as a server that works for ``WORK_S`` on each request."""
    echoed = [pair for pair in scope['headers'] if pair[0] == b'attempt-id']
    start = {'type': 'http.response.start', 'status': 200, 'headers': [SEAL, *echoed]}
    if scope['path'].startswith(LARGE):
        size = scope['path'].removeprefix(LARGE)
        start['headers'].append((b'content-length', size.encode()))
        await send(start)
        body = b'x' * int(size)
        await send({'type': 'http.response.body', 'body': body})
        return
    if scope['path'].startswith('/p/'):
        await anyio.sleep(WORK_S)
        await send(start)
        await send({'type': 'http.response.body', 'body': b'done'})
        return
    await send(start)
    for number in range(EVENTS):
        event = b'id: %d\ndata: x\n\n' % number
        await send({'type': 'http.response.body', 'body': event, 'more_body': True})
        await anyio.sleep(WORK_S / EVENTS)
    await send({'type': 'http.response.body', 'body': b''})


def _takes_signals(pid: int) -> bool:
    """Tell whether a process has a handler for SIGHUP and SIGUSR1 by now."""
    try:
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return True
    caught = next(line for line in status.splitlines() if line.startswith('SigCgt'))
    wanted = sum(1 << (number - 1) for number in (signal.SIGHUP, signal.SIGUSR1))
    return int(caught.split()[1], 16) & wanted == wanted
