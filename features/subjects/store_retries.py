"""Subject: routers that watch a store which goes down, in virtual time."""

import asyncio

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routes.routing_state import RoutingState, StoreStatus
from endivesaddle.fleet.routes.store_settings import StoreSettings
from endivesaddle.fleet.routes.store_watch import StoreWatcher
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.cut_router import NoDocuments
from subjects.links_loop import ScenarioLoop

SERVER = 'life-1'


class ServerEntries(NoDocuments):
    """A decoder of entries whose key alone names the server."""

    def server(self, stored: Stored, now_unix_s: float) -> RouteServer:
        """Return the server that the key names."""
        return RouteServer(self.lifetime(stored.key), 'engines', '10.0.2.1:1', 'porto-a', 64)

    def lifetime(self, key: str) -> str:
        """Return the part of the key after the prefix."""
        return key.removeprefix(self.servers_prefix)


class StoreRetries:
    """Routers that watch one store; each call runs on one event loop in virtual time."""

    def __init__(self, routers: int, settings: StoreSettings) -> None:
        """Start the routers, and let them read the store once."""
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self._store = MemoryStore(self._clock)
        self._states = [RoutingState() for _ in range(routers)]
        self._attempts = 0
        self._loop.run(self._start, settings)

    @property
    def attempts_each(self) -> float:
        """Attempts of one router during outages, on average."""
        return self._attempts / len(self._states)

    def close(self) -> None:
        """Close the event loop."""
        self._loop.close()

    def sleep(self, seconds: float) -> None:
        """Let virtual time pass."""
        self._loop.run(anyio.sleep, seconds)

    def outage(self, seconds: float) -> None:
        """Take the store down for a while, and count the attempts to read it."""
        before = self._store.calls['list']
        self._store.fail(True)
        self.sleep(seconds)
        self._store.fail(False)
        self._attempts += self._store.calls['list'] - before

    def register_server(self) -> None:
        """Write the entry of a server."""
        self._loop.run(self._register)

    def know_server(self) -> bool:
        """Return whether all routers know the server."""
        return all(SERVER in state.servers for state in self._states)

    async def _start(self, settings: StoreSettings) -> None:
        for state in self._states:
            watcher = StoreWatcher(
                self._store, ServerEntries(), state, self._clock, StoreStatus(self._clock), settings
            )
            asyncio.ensure_future(watcher.run())
        await anyio.sleep(1)

    async def _register(self) -> None:
        key = f'{ServerEntries.servers_prefix}{SERVER}'
        await self._store.swap(key, b'{}', 0, self._clock.now_s() + 1)
