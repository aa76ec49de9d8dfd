"""Subject: routers of one data centre, servers that leave, and reports of it that arrive late."""

from typing import Any

import anyio
import msgspec

from endivesaddle.fleet.clock import LoopClock, left_s
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.routes.declared import Declarations, RouteAccount, RouteServer
from endivesaddle.fleet.routes.routing_state import RoutingState, StoreStatus
from endivesaddle.fleet.routes.store_watch import StoreWatcher
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.cut_router import CutRouter
from subjects.links_loop import ScenarioLoop
from subjects.memory_sidecar import MemorySidecar

SERVERS = 'servers/'
SERVICE = 'engines'
START_S = 3.0
CHECK_S = 0.02
ACCOUNT = RouteAccount('ateliers', (), None, None)


class Entries:
    """Decodes servers' entries of the product's own type in JSON; there are no declarations."""

    declared_key = 'none/declared'
    declared_prefix = 'none/declared'
    servers_prefix = SERVERS

    def declared(self, stored: Stored) -> Declarations | None:
        """Reject any declarations."""
        raise ValueError(stored.key)

    def evacuated(self, key: str) -> str:
        """Return that no key is an evacuation."""
        return ''

    def server(self, stored: Stored, now_unix_s: float) -> RouteServer:
        """Return a server's entry."""
        return msgspec.json.decode(stored.value or b'', type=RouteServer)

    def lifetime(self, key: str) -> str:
        """Return the lifetime that a key names."""
        return key.removeprefix(SERVERS)


class TimedStore:
    """The store with the deadlines of a real link, whose answers may get lost."""

    def __init__(self, store: MemoryStore, clock: LoopClock) -> None:
        """Initialize with a working link."""
        self.silent = False
        self._store = store
        self._clock = clock

    def __getattr__(self, name: str) -> Any:
        """Return a call of the store that fails if the answer misses the deadline."""
        call = getattr(self._store, name)

        async def timed_call(*arguments: Any) -> Any:
            deadline_unix_s = arguments[3] if name in {'swap', 'poll'} else arguments[1]
            with anyio.move_on_after(left_s(self._clock, deadline_unix_s)):
                answer = await call(*arguments)
                while self.silent:
                    await anyio.sleep(CHECK_S)
                return answer
            raise StoreUnreachable('TimeoutError')

        return timed_call


class LeavingFleet:
    """Routers that watch a store; each call runs on one loop in virtual time."""

    def __init__(self, routers: int, servers: int, sidecars: int) -> None:
        """Start them, and let them discover each other."""
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self._store = MemoryStore(self._clock)
        self._net = MemoryNet(self._clock)
        self._links: list[TimedStore] = []
        self._sidecars = [f'10.0.1.{number}:1' for number in range(sidecars)]
        self._started: list[MemorySidecar] = []
        self.routers: list[CutRouter] = []
        self._loop.run(self._start, routers, servers)

    def close(self) -> None:
        """End the loop."""
        self._loop.close()

    def sleep(self, seconds: float) -> None:
        """Let time pass."""
        self._loop.run(anyio.sleep, seconds)

    def silence(self, router: int) -> None:
        """Drop the store's answers to a router, right after it got the last one."""
        self._loop.run(self._silence, router)

    def leave(self, server: int) -> None:
        """Announce that a server leaves."""
        self._loop.run(self._write_entry, server, True)

    def lose_sidecars(self) -> None:
        """Lose the sidecars' machines: connections to them hang."""
        routers = {router.address for router in self.routers}
        self._net.part(routers, set(self._sidecars))

    def chosen(self, router: int, server: int, seconds: float) -> bool:
        """Tell whether a router would choose a server at any time in the next seconds."""
        return self._loop.run(self._chosen, router, server, seconds)

    def lost(self, seconds: float) -> set[str]:
        """Return the routers that take the store for lost at any time in the next seconds."""
        return self._loop.run(self._lost, seconds)

    async def _start(self, routers: int, servers: int) -> None:
        for number in range(servers):
            await self._write_entry(number, False)
        for number, address in enumerate(self._sidecars):
            sidecar = MemorySidecar(f's{number}', address, self._net, self._store)
            await sidecar.start()
            self._started.append(sidecar)
        for number in range(routers):
            link = TimedStore(self._store, self._clock)
            router = CutRouter(f'router-{number}', f'10.0.0.{number}:1', self._net, link, Entries())
            self._links.append(link)
            self.routers.append(router)
            router.start(ACCOUNT)
        await anyio.sleep(START_S)

    async def _silence(self, router: int) -> None:
        # Every change of an entry is sent to all routers at once.
        self._store.put(f'{SERVERS}other', b'{}')
        await anyio.sleep(CHECK_S)
        self._links[router].silent = True

    async def _write_entry(self, number: int, leaving: bool) -> None:
        server = RouteServer(_server(number), SERVICE, f'10.0.2.{number}:1', 'porto-a', 64, leaving)
        self._store.put(f'{SERVERS}{server.lifetime}', msgspec.json.encode(server))

    async def _chosen(self, router: int, server: int, seconds: float) -> bool:
        until_unix_s = self._clock.now_s() + seconds
        while self._clock.now_s() < until_unix_s:
            available = self.routers[router].routing_state.available_servers(SERVICE)
            if _server(server) in {one.lifetime for one in available}:
                return True
            await anyio.sleep(CHECK_S)
        return False

    async def _lost(self, seconds: float) -> set[str]:
        found: set[str] = set()
        until_unix_s = self._clock.now_s() + seconds
        while self._clock.now_s() < until_unix_s:
            found |= {
                one.address
                for one in self.routers
                if one.store_status.unavailable or one.store.unavailable
            }
            await anyio.sleep(CHECK_S)
        return found


class DelayedAnswer:
    """One router that watches a store, and got a newer report from another router."""

    def __init__(self, version: int) -> None:
        """Report to it that the only server leaves."""
        self.routing_state = RoutingState()
        server = RouteServer(_server(0), SERVICE, '10.0.2.0:1', 'porto-a', 64)
        self._server = server
        self.routing_state.update_server(server, 'test')
        leaving = server._replace(leaving=True)
        self.routing_state.replace_servers({server.lifetime: leaving}, version, 'router-1')

    def arrive(self) -> int:
        """Let the store's own list arrive; return its version."""
        loop = ScenarioLoop()
        version: int = loop.run(self._arrive)
        loop.close()
        return version

    async def _arrive(self) -> int:
        clock = LoopClock()
        store = MemoryStore(clock)
        entry = msgspec.json.encode(self._server)
        version = store.put(f'{SERVERS}{self._server.lifetime}', entry).version
        store_watcher = StoreWatcher(
            store, Entries(), self.routing_state, clock, StoreStatus(clock)
        )
        with anyio.move_on_after(1):
            await store_watcher.run()
        return version


def _server(number: int) -> str:
    return f'life-{number}'
