"""Subjects: the slots of the weight store and the platform's list of instances."""

from typing import Any

import anyio
import httpx

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.errors import StoreWriteUnconfirmed
from endivesaddle.platform import InstanceList, PlatformSettings, WeightStore
from endivesaddle.platform.weight_store import PermitLost
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.memory_store import MemoryStore

LEASE_S = 30


class Loads:
    """Instances that load weights and share one store."""

    def __init__(self, slots: int) -> None:
        """Initialize with all slots free."""
        self._settings = PlatformSettings(weight_slots=slots, weight_lease_s=LEASE_S)
        self.store: Any = None
        self.running = 0
        self.most = 0
        self.ended: list[str] = []
        self.began_s: list[float] = []

    def load(self, count: int, seconds: float, wait_s: float, lost_answers: int = 0) -> None:
        """Have instances load concurrently."""

        async def main() -> None:
            self._open()
            self.store.lose_answers = lost_answers
            async with anyio.create_task_group() as tasks:
                for number in range(count):
                    tasks.start_soon(self._load, f'r{number}', seconds, wait_s)

        virtual.run(main)

    def die(self, wait_s: float) -> None:
        """Have a loader die without releasing its slot, and another wait for the slot."""

        async def main() -> None:
            self._open()
            slots = WeightStore(self._settings, self._clock, self.store, 'dead')
            await slots.take(self._clock.now_s() + wait_s)
            await self._load('other', 1, wait_s)

        virtual.run(main)

    def lose_store(self, seconds: float) -> None:
        """Take the store down one second into a load."""

        async def main() -> None:
            self._open()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._load, 'r0', seconds, seconds)
                await anyio.sleep(1)
                self.store.down = True

        virtual.run(main)

    def fail(self) -> None:
        """Have a load fail, and another instance load right after it."""

        async def main() -> None:
            self._open()
            slots = WeightStore(self._settings, self._clock, self.store, 'failing')
            try:
                async with slots.permission(self._clock.now_s() + 1):
                    raise FileNotFoundError('no such weights')
            except FileNotFoundError:
                self.ended.append('own error')
            await self._load('other', 1, 1)

        virtual.run(main)

    def _open(self) -> None:
        self._clock = LoopClock(0)
        self.store = MemoryStore(self._clock)

    async def _load(self, instance: str, seconds: float, wait_s: float) -> None:
        slots = WeightStore(self._settings, self._clock, self.store, instance)
        try:
            async with slots.permission(self._clock.now_s() + wait_s):
                await self._work(seconds)
        except (TimeoutError, PermitLost, StoreWriteUnconfirmed) as error:
            self.ended.append(type(error).__name__)
        else:
            self.ended.append('loaded')

    async def _work(self, seconds: float) -> None:
        self.began_s.append(self._clock.now_s())
        self.running += 1
        self.most = max(self.most, self.running)
        try:
            await anyio.sleep(seconds)
        finally:
            self.running -= 1
            self.ended_s = self._clock.now_s()


class FollowedList:
    """A list of instances with scripted responses, of which the last is repeated."""

    def __init__(self, responses: list[tuple[int, str]]) -> None:
        """Initialize with the status and body of each response."""
        self._responses = responses
        self.request_headers: list[httpx.Headers] = []
        self.lists: list[str] = []

    def follow(self, seconds: float) -> None:
        """Follow the list for some seconds."""
        virtual.run(lambda: self._follow(seconds))

    async def _follow(self, seconds: float) -> None:
        settings = PlatformSettings(instance_list_url='http://platform/instances')
        client = httpx.AsyncClient(transport=httpx.MockTransport(self._respond))
        instances = InstanceList(settings, LoopClock(), client)
        with anyio.move_on_after(seconds):
            async for entries in instances.follow():
                self.lists.append(', '.join(' '.join(entry) for entry in entries))
        await instances.aclose()

    def _respond(self, request: httpx.Request) -> httpx.Response:
        status, body = self._responses[min(len(self.request_headers), len(self._responses) - 1)]
        self.request_headers.append(request.headers)
        return httpx.Response(status, text=body, headers={'etag': '"first"'})
