"""Subject: routers that follow the store through one sidecar."""

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
    """The way to the store, on which answers may vanish: also that of a poll under way."""

    def __init__(self, store: MemoryStore, clock: LoopClock) -> None:
        """Start with a sound way."""
        self.cut = False
        self._store = store
        self._clock = clock

    async def poll(
        self, prefix: str, after_version: int, wait_s: float, deadline_unix_s: float
    ) -> Changes | Absent:
        """Poll the store, unless the answer vanishes."""
        answer = await self._store.poll(prefix, after_version, wait_s, deadline_unix_s)
        if self.cut:
            await anyio.sleep(max(0, deadline_unix_s - self._clock.now_s()))
            raise StoreUnreachable('silent')
        return answer


class Follower:
    """One router: what it knows, and when it was told that the sidecar does not know."""

    def __init__(self, polls: SharedPolls, clock: LoopClock) -> None:
        """Start at the beginning."""
        self.known: set[str] = set()
        self.version = 0
        self.failures = 0
        self._polls = polls
        self._clock = clock

    async def run(self) -> None:
        """Follow until cancelled; a failure is followed by a pause, as in a router."""
        while True:
            await self.poll()

    async def poll(self) -> None:
        """Ask once."""
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
    """A store, one sidecar, and routers; on one loop in virtual time."""

    def __init__(self, routers: int) -> None:
        """Let them follow."""
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self.store = MemoryStore(self._clock)
        self.link = SilentLink(self.store, self._clock)
        self.polls = SharedPolls(self.link, self._clock)
        self._tasks: list[asyncio.Future[None]] = []
        self.routers: list[Follower] = []
        self._loop.run(self._start, routers)

    def close(self) -> None:
        """End the loop."""
        self._loop.close()

    def sleep(self, seconds: float) -> None:
        """Let time pass."""
        self._loop.run(anyio.sleep, seconds)

    def write(self, value: bytes = b'x') -> str:
        """Write a key below the prefix; return it."""
        key = f'{PREFIX}{len(self.routers)}'
        self._loop.run(self._write, key, value)
        return key

    def forget_while_writing(self) -> str:
        """Drop the history at the moment of a write."""
        key = f'{PREFIX}lost'
        self._loop.run(self._forget, key)
        return key

    def late_router(self) -> Follower:
        """Return a router that asked once, from the beginning."""
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
