"""Subject: routers, and servers whose processes crash under one certain request."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import anyio
import msgspec

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.interfaces import ServerLost, ServerRefused
from endivesaddle.fleet.routes.declared import Repeat, Route, RouteAccount, RouteServer, Target
from endivesaddle.fleet.routes.forwarded import ForwardRequest, ServerCall
from endivesaddle.fleet.routes.instance_directory import PREFIX as ENTRIES
from endivesaddle.fleet.routes.running import Runner
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.cut_router import CutRouter
from subjects.forward_runs import RecordingSink, record_sent
from subjects.leaving_servers import SERVERS, SERVICE, Entries
from subjects.router_fleet import RouterFleet
from subjects.server_behaviours import ScriptedAnswer

START_S = 3.0
RUN_S = 0.05
DEADLINE_S = 10.0
EXPIRY_S = 1.4
"""The entry of a crashed server expires after this."""
RESTART_S = 2.0
AT_ONCE_S = 0.1
WRITTEN = 'endivesaddle/'
FATAL = b'fatal'
HARMLESS = b'harmless'
OWNER = RouteAccount('ateliers', (), None, None)
OTHER = RouteAccount('joiners', (), None, None)


class Arrival(NamedTuple):
    """A request that reached a server."""

    at_unix_s: float
    body: bytes
    account: str
    parts: tuple[str, ...] = ()


class CrashingServers:
    """Servers by address; the process of a server crashes when it runs the fatal request."""

    def __init__(self, store: MemoryStore, clock: LoopClock, count: int) -> None:
        """Start ``count`` of them."""
        self.arrived: list[Arrival] = []
        self.crashes_unix_s: list[float] = []
        self.fatal_parts: set[str] = set()
        self.run_s = RUN_S
        self.breaking = 0
        self.silent = False
        self.hanging_connections = False
        self.same_names = False
        self.open_addresses = False
        self._store = store
        self._clock = clock
        self._incarnations = itertools.count()
        self._running: dict[str, asyncio.Event] = {}
        self._addresses: dict[str, str] = {}
        self._tasks: set[asyncio.Future[None]] = set()
        for number in range(count):
            self._start_server(f'10.0.2.{number}:1')

    @asynccontextmanager
    async def exchange(self, call: ServerCall) -> AsyncIterator[ScriptedAnswer]:
        """Run a request, unless the process has crashed or crashes in the meantime."""
        await anyio.sleep(0.001)
        record_sent(call)
        crashed = self._process(call.server)
        request = call.request
        account = request.account.name if request.account else ''
        arrival = Arrival(self._clock.now_s(), request.body, account, request.shared_parts())
        self.arrived.append(arrival)
        if self.breaking:
            self.breaking -= 1
            raise ServerLost('the connection closed')
        with anyio.move_on_after(self.run_s):
            await crashed.wait()
        if request.body == FATAL or self.fatal_parts.intersection(request.shared_parts()):
            self.crash(call.server.lifetime)
        if crashed.is_set() and self.hanging_connections:
            await anyio.sleep_forever()
        if crashed.is_set():
            raise ServerLost('the connection closed')
        yield ScriptedAnswer(call)

    async def check(self, server: RouteServer) -> None:
        """Connect, as a router does to check whether a server still listens."""
        await anyio.sleep(0.001)
        if self.silent and server.lifetime not in self._running:
            await anyio.sleep_forever()
        if not self.open_addresses:
            self._process(server)

    def running(self) -> list[str]:
        """Return the incarnations that run."""
        return list(self._running)

    def crash(self, lifetime: str) -> None:
        """Crash a server's process; it restarts after a while, by default under another name."""
        crashed = self._running.pop(lifetime, None)
        if crashed is not None:
            crashed.set()
            self.crashes_unix_s.append(self._clock.now_s())
            task = asyncio.ensure_future(self._restart_server(lifetime))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _process(self, server: RouteServer) -> asyncio.Event:
        if server.lifetime not in self._running:
            raise ServerRefused(f'{server.address} refuses connections')
        return self._running[server.lifetime]

    async def _restart_server(self, lifetime: str) -> None:
        address = self._addresses.pop(lifetime)
        await anyio.sleep(AT_ONCE_S if self.open_addresses else EXPIRY_S)
        self._store.remove(f'{SERVERS}{lifetime}')
        if not self.open_addresses:
            await anyio.sleep(RESTART_S - EXPIRY_S)
        self._start_server(address, lifetime if self.same_names else '')

    def _start_server(self, address: str, name: str = '') -> None:
        born_unix_ms = next(self._incarnations) + 1
        lifetime = name or f'life-{born_unix_ms}'
        self._running[lifetime] = asyncio.Event()
        self._addresses[lifetime] = address
        server = RouteServer(lifetime, SERVICE, address, 'porto-a', 64, born_unix_ms=born_unix_ms)
        self._store.put(f'{SERVERS}{lifetime}', msgspec.json.encode(server))


class CrashingFleet(RouterFleet):
    """Routers that forward to such servers; each call runs on one loop in virtual time."""

    def __init__(self, routers: int, servers: int, sidecars: int = 0) -> None:
        """Start them, and let them discover each other."""
        super().__init__(sidecars)
        self._runners: list[Runner] = []
        self._incarnations = itertools.count()
        self._route = Route(
            'boards', 'host', '/b/', Repeat.UNSAFE, 4000, 500, 1, (Target(SERVICE, 1),)
        )
        self.sinks: list[RecordingSink] = []
        self._loop.run(self._start, routers, servers)

    @property
    def servers(self) -> CrashingServers:
        """The servers."""
        return self._servers

    def expire_records(self) -> None:
        """Remove all that routers wrote into the store, except their own entries."""
        self._loop.run(self._expire_records)

    def repeat(self, attempts: int) -> None:
        """Let the request be retried."""
        self._route = self._route._replace(repeat=Repeat.SAFE, max_attempts=attempts)

    def restart(self, router: int) -> None:
        """Kill a router and start its next incarnation at the same address."""
        self._loop.run(self._restart, router)

    def restart_all(self) -> None:
        """Kill all routers, and then start the next incarnation of each."""
        self._loop.run(self._restart_all)

    def send_repeatedly(
        self, times: int, pause_s: float, first_router: int = 0, step: int = 1
    ) -> None:
        """Send the fatal request repeatedly."""
        self._loop.run(self._send_repeatedly, times, pause_s, first_router, step)

    def send_to_all(self, times: int, pause_s: float) -> None:
        """Send the fatal request to all routers at once, repeatedly."""
        self._loop.run(self._send_to_all, times, pause_s)

    def crash_together(self, times: int) -> int:
        """Crash all servers that run a harmless request; return their number."""
        crashed: int = self._loop.run(self._crash_together, times)
        return crashed

    def lose_harmless(self) -> None:
        """Run a harmless request at a server that crashes, then at one that does not."""
        self._loop.run(self._lose_harmless)

    def break_connections(self, times: int) -> None:
        """Break that many connections of a harmless request, one request at a time."""
        self._servers.breaking = times
        for number in range(times):
            self._loop.run(self._execute, number % len(self._runners), HARMLESS)

    def send(self, body: bytes, account: RouteAccount = OWNER) -> RecordingSink:
        """Execute one request."""
        sink: RecordingSink = self._loop.run(self._execute, 0, body, account)
        return sink

    def late(self, seconds: float) -> list[Arrival]:
        """Return arrivals of the fatal request more than ``seconds`` after its third crash."""
        third_unix_s = self._servers.crashes_unix_s[2]
        return [
            one
            for one in self._servers.arrived
            if one.body == FATAL and one.at_unix_s > third_unix_s + seconds
        ]

    async def _start(self, routers: int, servers: int) -> None:
        self._servers = CrashingServers(self._store, self._clock, servers)
        await self._start_sidecars()
        for number in range(routers):
            self._start_router(f'10.0.0.{number}:1')
        await anyio.sleep(START_S)

    def _start_router(self, address: str) -> None:
        """Start an incarnation of a router."""
        name = f'router-{next(self._incarnations)}'
        router = CutRouter(name, address, self._net, self._store, Entries())
        router.start(OWNER)
        runner = Runner(router.dispatcher, router.pools, self._servers, self._clock)
        addresses = [one.address for one in self._routers]
        if address in addresses:
            self._routers[addresses.index(address)] = router
            self._runners[addresses.index(address)] = runner
        else:
            self._routers.append(router)
            self._runners.append(runner)

    async def _expire_records(self) -> None:
        for stored in await self._store.list(WRITTEN, self._clock.now_s() + 1):
            if not stored.key.startswith(ENTRIES):
                self._store.remove(stored.key)

    async def _restart(self, number: int) -> None:
        self._routers[number].kill()
        await anyio.sleep(1)
        self._start_router(self._routers[number].address)

    async def _restart_all(self) -> None:
        for router in self._routers:
            router.kill()
        await anyio.sleep(1)
        for router in list(self._routers):
            self._start_router(router.address)

    async def _send_repeatedly(
        self, times: int, pause_s: float, first_router: int, step: int
    ) -> None:
        for number in range(times):
            router = (first_router + number * step) % len(self._runners)
            self.sinks.append(await self._execute(router, FATAL))
            await anyio.sleep(pause_s)

    async def _send_to_all(self, times: int, pause_s: float) -> None:
        for _ in range(times):
            requests = [self._execute(router, FATAL) for router, _ in enumerate(self._runners)]
            self.sinks.extend(await asyncio.gather(*requests))
            await anyio.sleep(pause_s)

    async def _crash_together(self, times: int) -> int:
        requests = [self._execute(number % len(self._runners), HARMLESS) for number in range(times)]
        executions = asyncio.gather(*requests)
        await anyio.sleep(RUN_S / 2)
        backends = [
            backend for router in self._routers for backend in router.dispatcher.backends.all()
        ]
        running = {backend.server.lifetime for backend in backends if backend.own_in_flight}
        for lifetime in running:
            self._servers.crash(lifetime)
        assert {sink.status for sink in await executions} == {502}
        return len(running)

    async def _lose_harmless(self) -> None:
        lost = asyncio.ensure_future(self._execute(0, HARMLESS))
        await anyio.sleep(RUN_S / 2)
        for backend in self._routers[0].dispatcher.backends.all():
            if backend.own_in_flight:
                self._servers.crash(backend.server.lifetime)
        assert (await lost).status == 502
        assert (await self._execute(0, HARMLESS)).status == 200
        await anyio.sleep(START_S)

    async def _execute(
        self, router: int, body: bytes, account: RouteAccount = OWNER
    ) -> RecordingSink:
        sink = RecordingSink()
        await self._runners[router].serve(self._made(body, account), sink)
        return sink

    def _made(self, body: bytes, account: RouteAccount) -> ForwardRequest:
        now_unix_s = self._clock.now_s()
        return ForwardRequest(
            request_id=f'attempt-{next(self._incarnations)}',
            route=self._route,
            account=account,
            method='POST',
            target='/b/x',
            headers=(('host', 'host'),),
            body=body,
            deadline_unix_s=now_unix_s + DEADLINE_S,
            end_unix_s=now_unix_s + self._route.timeout_ms / 1000,
            prompt_tokens=0,
            max_tokens=0,
            parts=(),
            last_event=-1,
            began_unix_s=now_unix_s,
        )
