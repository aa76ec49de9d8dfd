"""Subject: the store's adapter over a stand-in for the gateway."""

import contextlib
import pathlib
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpx
import msgspec

from endivesaddle.fleet.clock import LoopClock, WallClock
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.sentinels import Conflict
from endivesaddle.platform import EtcdStore, PlatformSettings, open_store
from endivesaddle.platform.rate import StoreRate
from endivesaddle.stand_ins.etcd_gateway import EtcdGateway
from endivesaddle.stand_ins.etcd_serving import serve_asgi
from endivesaddle.stand_ins.etcd_transport import AsgiTransport
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.links_loop import ScenarioLoop

HOSTS = ('one', 'two')
ENOUGH_S = 10
CERTIFICATES = pathlib.Path(__file__).parent.parent / 'certificates'
HEADERS = ((b'content-type', b'application/json'),)


class PlatformStore:
    """One adapter with one or two URLs of the same store."""

    def __init__(self, url_count: int) -> None:
        """Initialize with no failures; ``close`` ends the loop."""
        self._loop = ScenarioLoop()
        self.outcomes: list[str] = []
        self.took_s = 0.0
        self.listed: list[Stored] = []
        self.lease_extended = True
        self.clock = LoopClock()
        self._loop.run(self._open, HOSTS[:url_count])

    def close(self) -> None:
        """End the loop."""
        self._loop.run(self.store.aclose)
        self._loop.close()

    def do(self, call: Callable[[], Awaitable[Any]]) -> Any:
        """Make calls; record their outcome and duration."""
        return self._loop.run(self._timed, call)

    def sleep(self, seconds: float) -> None:
        """Advance the clock."""
        self._loop.run(anyio.sleep, seconds)

    def write(self, key: str, version: int = 0, lease_id: int = 0) -> None:
        """Write a key."""
        self.do(lambda: self.store.swap(key, b'new', version, self.deadline_unix_s(), lease_id))

    def read(self, key: str) -> Any:
        """Read a key."""
        return self.do(lambda: self.store.read(key, self.deadline_unix_s()))

    def fill(self, *keys: str) -> None:
        """Write keys directly to the store."""
        self._loop.run(self._fill, keys)

    def lease(self) -> int:
        """Return a lease of 5 seconds."""
        return self.do(lambda: self.store.grant(5, self.deadline_unix_s()))

    def extend(self, lease_id: int) -> bool:
        """Extend a lease."""
        return self.do(lambda: self.store.keep_alive(lease_id, self.deadline_unix_s()))

    def list(self, prefix: str) -> None:
        """List a prefix."""
        self.listed = self.do(lambda: self.store.list(prefix, self.deadline_unix_s()))

    def watch(self, key: str, after_version: int, meanwhile: Callable[[], Awaitable[Any]]) -> Any:
        """Watch while ``meanwhile`` runs; return the first change, or None if the watch broke."""
        return self._loop.run(self._watch, key, after_version, meanwhile)

    def answer(self, status: int, code: int) -> None:
        """Have both URLs respond to all requests with an error."""
        body = msgspec.json.encode({'code': code, 'message': 'as scripted'})

        async def app(scope: Any, receive: Any, send: Any) -> None:
            self.gateway.paths.append(scope['path'])
            await send({'type': 'http.response.start', 'status': status, 'headers': HEADERS})
            await send({'type': 'http.response.body', 'body': body})

        self.gateway.paths.clear()
        self.apps.update(dict.fromkeys(HOSTS, app))

    def limit(self, per_s: float) -> None:
        """Set the rate limits of the instance, with a burst of 10 seconds' worth."""
        self._loop.run(self._limit, per_s)

    def deadline_unix_s(self) -> float:
        """Return a deadline in 10 seconds."""
        return self.clock.now_s() + ENOUGH_S

    def sent(self, path: str) -> int:
        """Return the number of requests that the gateway got for a path."""
        return self.gateway.paths.count(path)

    async def _open(self, hosts: tuple[str, ...]) -> None:
        self.memory = MemoryStore(self.clock)
        self.gateway = EtcdGateway(self.memory, self.clock)
        self.apps: dict[str, Any] = dict.fromkeys(HOSTS, self.gateway)
        self.transport = AsgiTransport(self.apps)
        urls = tuple(f'etcd+http://{host}' for host in hosts)
        client = httpx.AsyncClient(transport=self.transport)
        self.store = EtcdStore(PlatformSettings(store_urls=urls), self.clock, client)

    async def _limit(self, per_s: float) -> None:
        self.store.rate = StoreRate(PlatformSettings(store_burst_s=10.0), self.clock)
        self.store.rate.limit(per_s, per_s, 0)

    async def _timed(self, call: Callable[[], Awaitable[Any]]) -> Any:
        began_s = self.clock.now_s()
        found = None
        try:
            found = await call()
            self.outcomes.append(_outcome(found))
        except StoreUnreachable:
            self.outcomes.append('unreachable')
        except StoreWriteUnconfirmed:
            self.outcomes.append('unsure')
        self.took_s = self.clock.now_s() - began_s
        return found

    async def _fill(self, keys: tuple[str, ...]) -> None:
        for key in keys:
            await self.memory.swap(key, key.encode(), 0, self.deadline_unix_s())

    async def _watch(
        self, key: str, after_version: int, meanwhile: Callable[[], Awaitable[Any]]
    ) -> Any:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(meanwhile)
            began_s = self.clock.now_s()
            try:
                return await anext(self.store.watch(key, after_version))
            except StoreUnreachable:
                self.took_s = self.clock.now_s() - began_s
        return None


async def watch_over_socket() -> Stored:
    """Serve the gateway on a socket, watch it, write, and return what the watch reported."""
    clock = WallClock()
    memory = MemoryStore(clock)
    gateway = EtcdGateway(memory, clock)
    async with serve_asgi(gateway) as url, anyio.create_task_group() as tasks:
        settings = PlatformSettings(store_urls=(f'etcd+{url}',))
        async with open_store(settings, clock) as store:
            deadline_unix_s = clock.now_s() + ENOUGH_S
            tasks.start_soon(store.swap, 'a', b'told', 0, deadline_unix_s)
            return await anext(store.watch('a', 0))


async def write_over_tls(certificate: str, authority: str) -> Any:
    """Write to a gateway with this certificate, trusting this authority."""
    clock = WallClock()
    gateway = EtcdGateway(MemoryStore(clock), clock)
    files = (str(CERTIFICATES / f'{certificate}.pem'), str(CERTIFICATES / f'{certificate}.key'))
    trusted = str(CERTIFICATES / f'{authority}.pem')
    async with contextlib.AsyncExitStack() as stack:
        url = await stack.enter_async_context(serve_asgi(gateway, certificate=files))
        settings = PlatformSettings(store_urls=(f'etcd+{url}',), store_ca=trusted)
        store = EtcdStore(settings, clock)
        stack.push_async_callback(store.aclose)
        return await store.swap('a', b'new', 0, clock.now_s() + ENOUGH_S)


def _outcome(found: Any) -> str:
    if isinstance(found, Conflict):
        return f'conflict at {found.version}'
    return 'stored' if isinstance(found, Stored) else 'done'
