"""Subject: routers and servers of three data centres, some evacuated, some just started."""

import itertools
from typing import Any

import anyio
import msgspec

from endivesaddle.backend_servers.connection_pool import ConnectionPool
from endivesaddle.backend_servers.forward_client import ForwardClient
from endivesaddle.backend_servers.server_connection import ServerConnection
from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.interfaces import ServerRefused
from endivesaddle.fleet.routes.header_names import HeaderNames
from endivesaddle.fleet.routes.running import Runner
from subjects.announcing_servers import ACCOUNT, AnnouncingFleet, AnnouncingServer
from subjects.cut_router import CutRouter
from subjects.forward_runs import RecordingSink
from subjects.leaving_servers import SERVERS, SERVICE
from subjects.users_platform import module

DATA_CENTRES = ('porto-a', 'porto-b', 'porto-c')
CONFIG = 'op/config'
EVACUATED = 'op/evacuate/'
START_S = 3.0
AGAIN_S = 0.5
WINDOW_S = 1.0


class TimedServer(AnnouncingServer):
    """A server that records when requests reach it."""

    def __init__(self, clock: LoopClock) -> None:
        """Initialize without requests."""
        super().__init__()
        self.refuses = False
        self.came_unix_s: list[float] = []
        self._clock = clock

    def answer(self, request: bytes) -> bytes:
        """Record a request and return the bytes of its response."""
        self.came_unix_s.append(self._clock.now_s())
        return super().answer(request)

    def busiest(self) -> int:
        """Return the most requests that arrived within any second."""
        return max(
            (
                sum(1 for later in self.came_unix_s if 0 <= later - first < WINDOW_S)
                for first in self.came_unix_s
            ),
            default=0,
        )


class EvacuatedFleet(AnnouncingFleet):
    """Server n is in data centre n modulo 3; documents are in the format of the users' platform."""

    def __init__(self, routers: int, servers: int, sidecars: int = 0) -> None:
        """Start with no data centre evacuated."""
        self._life = 1
        self._decoder = module('documents').PlatformDecoder()
        super().__init__(routers, servers, sidecars)

    def evacuate(self, data_centre: str, now: bool = True) -> None:
        """Evacuate a data centre, or return it to service."""
        self._loop.run(self._evacuate, data_centre, now)

    def start_router(self) -> int:
        """Start one more router; return its number."""
        number = len(self._routers)
        self._loop.run(self._start_one, number)
        return number

    def cut(self, router: int) -> None:
        """Cut a router off from the store."""
        self._routers[router].cut.cut = True

    def forget(self) -> None:
        """Make the store drop its history."""
        self._store.forget()

    def ready(self, router: int) -> bool:
        """Tell whether a router knows what it needs before it accepts requests."""
        routing_state = self._routers[router].routing_state
        return routing_state.declarations is not None and bool(routing_state.servers)

    def enter_cold(self, server: int, cold_s: float) -> None:
        """Write the entry of a server that is cold for ``seconds``."""
        self._loop.run(self._put, server, {'cold_left_ms': int(cold_s * 1000)})

    def restart(self, cold_s: float) -> None:
        """Restart all routers at their addresses, with all servers cold."""
        self._loop.run(self._restart, cold_s)

    def rush(self, per_s: float, seconds: float) -> None:
        """Send requests to all routers in turn, many at a time."""
        self._loop.run(self._rush, per_s, seconds)

    def forget_requests(self) -> None:
        """Reset the counts."""
        self._forget()
        for server in self.servers:
            server.came_unix_s.clear()

    async def _start(self, routers: int) -> None:
        self.servers = [TimedServer(self._clock) for _ in self.servers]
        self._store.put(CONFIG, msgspec.json.encode(_config()))
        await super()._start(routers)

    async def _restart(self, cold_s: float) -> None:
        killed = self._routers
        self._routers = []
        self._runners = []
        for router in killed:
            router.kill()
        self._life += 1
        for number, _ in enumerate(killed):
            self._start_router(number)
        for server, _ in enumerate(self.servers):
            self._write(server, {'cold_left_ms': int(cold_s * 1000)})
        await anyio.sleep(AGAIN_S)

    def _start_router(self, number: int) -> None:
        name = f'router-{number}-{self._life}'
        router = CutRouter(name, f'10.0.0.{number}:1', self._net, self._store, self._decoder)
        router.start(ACCOUNT)
        links = ForwardClient(ConnectionPool(self._connect), HeaderNames(), self._clock)
        self._routers.append(router)
        self._runners.append(Runner(router.dispatcher, router.pools, links, self._clock))

    async def _start_one(self, number: int) -> None:
        self._start_router(number)
        await anyio.sleep(START_S)

    async def _enter(self, number: int, born_unix_ms: int) -> None:
        self._write(number, {'born': born_unix_ms})

    async def _put(self, number: int, fields: dict[str, Any]) -> None:
        self._write(number, fields)
        await anyio.sleep(0.1)

    def _write(self, number: int, fields: dict[str, Any]) -> None:
        entry = {
            'service': SERVICE,
            'address': f'10.0.2.{number}:1',
            'zone': DATA_CENTRES[number % len(DATA_CENTRES)],
            'slots': 64,
            'state': 'ready',
            'cold_left_ms': 0,
            **fields,
        }
        self._store.put(f'{SERVERS}life-{number}', msgspec.json.encode(entry))

    async def _evacuate(self, data_centre: str, now: bool) -> None:
        key = f'{EVACUATED}{data_centre}'
        if now:
            self._store.put(key, b'{}')
        else:
            self._store.remove(key)

    async def _connect(self, address: str) -> ServerConnection:
        number = int(address.partition(':')[0].rpartition('.')[2])
        if self.servers[number].refuses:
            raise ServerRefused(address)
        return await super()._connect(address)

    async def _rush(self, per_s: float, seconds: float) -> None:
        turn = itertools.cycle(self._runners)
        async with anyio.create_task_group() as group:
            for _ in range(int(per_s * seconds)):
                group.start_soon(self._one, next(turn))
                await anyio.sleep(1 / per_s)

    async def _one(self, runner: Runner) -> None:
        sink = RecordingSink()
        await runner.serve(self._made(), sink)
        self.sinks.append(sink)


def _config() -> dict[str, Any]:
    """Return declarations whose engines handle 16 requests a second while cold."""
    engines = {'name': SERVICE, 'max_conns': 450, 'cold_s': 3.0, 'cold_per_s': 16.0}
    account = {'name': ACCOUNT.name, 'api_keys': []}
    return {'version': 2, 'routes': [], 'services': [engines], 'tenants': [account]}
