"""Subject: routers that follow a prefix of the store through one sidecar."""

import asyncio

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.routes.shared_polls import SharedPolls
from endivesaddle.fleet.routes.store_watch import Changes
from endivesaddle.fleet.sentinels import Absent
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.links_loop import ScenarioLoop

PREFIX = 'servers/'
POLL_S = 0.8
PAUSE_S = 0.1


class SilentLink:
    """A connection to the store that can lose answers, also those of polls in flight."""

    def __init__(self, store: MemoryStore, clock: LoopClock) -> None:
        """Initialize with a working connection."""
        self.cut = False
        self._store = store
        self._clock = clock

    async def poll(
        self, prefix: str, after_version: int, wait_s: float, deadline_unix_s: float
    ) -> Changes | Absent:
        """Poll the store; fails at the deadline if the connection is cut."""
        answer = await self._store.poll(prefix, after_version, wait_s, deadline_unix_s)
        if self.cut:
            await anyio.sleep(max(0, deadline_unix_s - self._clock.now_s()))
            raise StoreUnreachable('silent')
        return answer


class Follower:
    """One router: the keys it knows, and the number of its failed polls."""

    def __init__(self, polls: SharedPolls, clock: LoopClock) -> None:
        """Initialize without keys, at the first version."""
        self.known: set[str] = set()
        self.version = 0
        self.failures = 0
        self._polls = polls
        self._clock = clock

    async def run(self) -> None:
        """Poll until cancelled, with a pause after each failure, as a router does."""
        while True:
            await self.poll()

    async def poll(self) -> None:
        """Poll once."""
        deadline_unix_s = self._clock.now_s() + POLL_S
        try:
            changes = await self._polls.poll(PREFIX, self.version, POLL_S, deadline_unix_s)
        except StoreUnreachable:
            self.failures += 1
            await anyio.sleep(PAUSE_S)
            return
        if isinstance(changes, Absent):
            self.failures += 1
            await anyio.sleep(PAUSE_S)
            return
        self.version = changes.version
        self.known |= {stored.key for stored in changes.entries}


class SharedFleet:
    """A store, one sidecar and routers, on one event loop in virtual time."""

    def __init__(self, routers: int) -> None:
        """Start the sidecar and the routers."""
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self.store = MemoryStore(self._clock)
        self.link = SilentLink(self.store, self._clock)
        self.polls = SharedPolls(self.link, self._clock)
        self._tasks: list[asyncio.Future[None]] = []
        self.routers: list[Follower] = []
        self._loop.run(self._start, routers)

    def close(self) -> None:
        """Close the event loop."""
        self._loop.close()

    def sleep(self, seconds: float) -> None:
        """Let virtual time pass."""
        self._loop.run(anyio.sleep, seconds)

    def write(self, value: bytes = b'x') -> str:
        """Write a key below the prefix, and return the key."""
        key = f'{PREFIX}{len(self.routers)}'
        self._loop.run(self._write, key, value)
        return key

    def forget_while_writing(self) -> str:
        """Write a key and drop the history at the same time; return the key."""
        key = f'{PREFIX}lost'
        self._loop.run(self._forget, key)
        return key

    def late_router(self) -> Follower:
        """Return a new router that has polled once from the first version."""
        router = Follower(self.polls, self._clock)
        self._loop.run(router.poll)
        return router

    async def _start(self, routers: int) -> None:
        self._tasks.append(asyncio.ensure_future(self.polls.run()))
        await anyio.sleep(0)
        self.store.put('other/key', b'')
        self.routers = [Follower(self.polls, self._clock) for _ in range(routers)]
        self._tasks.extend(asyncio.ensure_future(router.run()) for router in self.routers)
        await anyio.sleep(0.01)

    async def _write(self, key: str, value: bytes) -> None:
        self.store.put(key, value)

    async def _forget(self, key: str) -> None:
        self.store.put(key, b'x')
        self.store.forget()
