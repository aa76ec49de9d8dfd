"""Subject: the number of connections that the store's adapter opens."""

import asyncio
from collections import Counter
from typing import Any

import anyio
import httpx

from endivesaddle.fleet.clock import LoopClock, WallClock
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Stored
from endivesaddle.platform import EtcdStore, PlatformSettings
from endivesaddle.stand_ins.etcd_gateway import EtcdGateway
from endivesaddle.stand_ins.etcd_serving import serve_asgi
from endivesaddle.stand_ins.etcd_transport import AsgiTransport
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.links_loop import ScenarioLoop

WATCH = '/v3/watch'
QUEUE_DELAY_S = 0.1
UNLIMITED_PER_S = 10000
SOCKET_WRITES = 64
MAX_OPEN_CALLS = 16
WATCHED_KEY = 'watched'
DEADLINE_S = 10


class CountedGateway:
    """A gateway that counts the open calls and records their client addresses."""

    def __init__(self, gateway: EtcdGateway) -> None:
        """Initialize with the gateway that the calls are passed to."""
        self._gateway = gateway
        self._open = 0
        self.most = 0
        self.sent = 0
        self.clients: set[Any] = set()
        self.held: anyio.Event | None = None
        self.full = anyio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        self.clients.add(scope.get('client'))
        if scope.get('path') == WATCH or scope['type'] == 'lifespan':
            await self._gateway(scope, receive, send)
            return
        self.sent += 1
        self._open += 1
        self.most = max(self.most, self._open)
        if self._open == MAX_OPEN_CALLS:
            self.full.set()
        try:
            await self._pass_on(scope, receive, send)
        finally:
            self._open -= 1

    async def _pass_on(self, scope: Any, receive: Any, send: Any) -> None:
        if self.held is not None:
            await self.held.wait()
        await self._gateway(scope, receive, send)


class Connections:
    """One adapter of one slow store."""

    def __init__(self, delay_s: float) -> None:
        """Initialize with a store that takes ``delay_s`` over each call."""
        self._loop = ScenarioLoop()
        self.outcomes: Counter[str] = Counter()
        self.reported_s = 0.0
        self._rounds = 0
        self._loop.run(self._start, delay_s)

    def close(self) -> None:
        """End the loop."""
        self._loop.run(self.store.aclose)
        self._loop.close()

    def slow(self, delay_s: float) -> None:
        """Have the store take ``delay_s`` over each call."""
        self.memory.delay_s = delay_s

    def write(self, count: int, within_s: float) -> None:
        """Write keys at once and wait for all."""
        self._loop.run(self._write, count, within_s)

    def begin_writing(self, count: int, within_s: float) -> None:
        """Write keys at once, and return while the writes wait."""
        self._loop.run(self._begin, count, within_s)

    def watch(self, key: str, change_after_s: float) -> None:
        """Watch a key that is changed directly in the store."""
        self._loop.run(self._watch, key, change_after_s)

    async def _start(self, delay_s: float) -> None:
        clock = LoopClock()
        self.clock = clock
        self.memory = MemoryStore(clock)
        self.memory.delay_s = delay_s
        self.gateway = CountedGateway(EtcdGateway(self.memory, clock))
        client = httpx.AsyncClient(transport=AsgiTransport({'one': self.gateway}))
        settings = PlatformSettings(store_urls=('etcd+http://one',))
        self.store = EtcdStore(settings, clock, client)
        self.store.rate.limit(UNLIMITED_PER_S, UNLIMITED_PER_S, 0)

    async def _begin(self, count: int, within_s: float) -> None:
        # Not in a task group: the task continues after the step, like the loop.
        self._writing = asyncio.create_task(self._write(count, within_s))
        await anyio.sleep(QUEUE_DELAY_S)

    async def _write(self, count: int, within_s: float) -> None:
        self._rounds += 1
        self.outcomes.clear()
        self.gateway.most = 0
        self.gateway.sent = 0
        deadline_unix_s = self.clock.now_s() + within_s
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                key = f'{self._rounds}/{number}'
                tasks.start_soon(self._write_one, key, deadline_unix_s)

    async def _write_one(self, key: str, deadline_unix_s: float) -> None:
        self.outcomes[await write(self.store, key, deadline_unix_s)] += 1

    async def _watch(self, key: str, change_after_s: float) -> None:
        began_s = self.clock.now_s()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._change, key, change_after_s)
            await anext(self.store.watch(key, 0))
        self.reported_s = self.clock.now_s() - began_s

    async def _change(self, key: str, after_s: float) -> None:
        await anyio.sleep(after_s)
        self.memory.delay_s = 0
        await self.memory.swap(key, b'new', 0, self.clock.now_s() + 1)


async def write(store: EtcdStore, key: str, deadline_unix_s: float) -> str:
    """Write a key; return the outcome."""
    try:
        await store.swap(key, b'new', 0, deadline_unix_s)
    except StoreUnreachable:
        return 'unreachable'
    except StoreWriteUnconfirmed:
        return 'unsure'
    return 'stored'


class OverSockets:
    """Writes that wait at the server, and a watch opened meanwhile, over real sockets."""

    def __init__(self) -> None:
        """Initialize with no connections and nothing reported."""
        self.connections = 0
        self.reported: Stored | None = None

    async def play(self) -> None:
        """Serve the gateway, write keys and watch one."""
        clock = WallClock()
        memory = MemoryStore(clock)
        gateway = CountedGateway(EtcdGateway(memory, clock))
        gateway.held = anyio.Event()
        await memory.swap(WATCHED_KEY, b'new', 0, clock.now_s() + DEADLINE_S)
        async with serve_asgi(gateway) as url:
            store = EtcdStore(PlatformSettings(store_urls=(f'etcd+{url}',)), clock)
            store.rate.limit(UNLIMITED_PER_S, UNLIMITED_PER_S, 0)
            deadline_unix_s = clock.now_s() + DEADLINE_S
            async with anyio.create_task_group() as tasks:
                for number in range(SOCKET_WRITES):
                    tasks.start_soon(write, store, str(number), deadline_unix_s)
                # No write gets a response before the watch has reported, so that the writes keep
                # their connections.
                await gateway.full.wait()
                self.reported = await anext(store.watch(WATCHED_KEY, 0))
                gateway.held.set()
            await store.aclose()
        self.connections = len(gateway.clients - {None})
