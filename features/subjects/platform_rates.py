"""Subject: the shares of the store's rates, alone and in a fleet of real routers."""

from collections.abc import AsyncIterator, Sequence
from itertools import repeat
from typing import Any

import anyio

from endivesaddle.daemon.node import Ports
from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.ports import Stored
from endivesaddle.platform import PlatformSettings
from endivesaddle.platform.rate import StoreRate
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.memory_caller import Got
from endivesaddle.stand_ins.memory_fleet import MemoryFleet
from subjects import fault_scene
from subjects.links_loop import ScenarioLoop

WAIT_LIMIT_S = 60.0
DISCOVERY_S = 20.0
START_DELAY_S = 2.0


class Rates:
    """The rate limiters of many instances, and the rate of writes that the store gets."""

    def __init__(self, count: int) -> None:
        """Start the instances."""
        self._loop = ScenarioLoop()
        self.writes_per_s = 0.0
        self._loop.run(self._start, count)

    def close(self) -> None:
        """End the loop."""
        self._loop.close()

    def see(self, count: int, for_s: int) -> None:
        """Have each instance see ``count`` routers for ``for_s`` seconds."""
        self._loop.run(self._see, count, for_s)

    def limit_sidecars(self) -> None:
        """Set the rates of sidecars for all instances."""
        self._loop.run(self._limit_sidecars)

    def write(self, for_s: int) -> None:
        """Have all instances write as fast as they can."""
        self._loop.run(self._write, for_s)

    def call(self, reads: int, writes: int, within_s: float) -> None:
        """Have each instance make calls at once, all with the same deadline."""
        self._loop.run(self._call, [*repeat('read', reads), *repeat('swap', writes)], within_s)

    def refused(self) -> int:
        """Return the number of refused calls."""
        return sum(rate.refused.total() for rate in self.rates)

    async def _start(self, count: int) -> None:
        self.clock = LoopClock()
        self.rates = [StoreRate(PlatformSettings(), self.clock) for _ in range(count)]

    async def _see(self, count: int, for_s: int) -> None:
        for _ in range(for_s):
            await anyio.sleep(1)
            for rate in self.rates:
                rate.divide(count)

    async def _limit_sidecars(self) -> None:
        for rate in self.rates:
            rate.limit_sidecar()

    async def _write(self, for_s: int) -> None:
        before = sum(rate.calls['swap'] for rate in self.rates)
        with anyio.move_on_after(for_s):
            async with anyio.create_task_group() as tasks:
                for writer in self.rates:
                    tasks.start_soon(self._write_on, writer)
        after = sum(rate.calls['swap'] for rate in self.rates)
        self.writes_per_s = (after - before) / for_s

    async def _write_on(self, rate: StoreRate) -> None:
        while True:
            await rate.take('swap', self.clock.now_s() + WAIT_LIMIT_S)

    async def _call(self, kinds: Sequence[str], within_s: float) -> None:
        deadline_unix_s = self.clock.now_s() + within_s
        async with anyio.create_task_group() as tasks:
            for rate in self.rates:
                for kind in kinds:
                    tasks.start_soon(_take, rate, kind, deadline_unix_s)


async def _take(rate: StoreRate, kind: str, deadline_unix_s: float) -> None:
    try:
        await rate.take(kind, deadline_unix_s)
    except StoreUnreachable:
        return


class RatedStore:
    """A store whose calls are limited by a rate, as in the etcd adapter."""

    def __init__(self, store: Any, rate: StoreRate, clock: LoopClock) -> None:
        """Initialize with the store that the calls are passed to."""
        self._store = store
        self._rate = rate
        self._clock = clock

    async def read(self, key: str, deadline_unix_s: float) -> Any:
        """Read a key when the rate allows it."""
        await self._rate.take('read', deadline_unix_s)
        return await self._store.read(key, deadline_unix_s)

    async def list(self, prefix: str, deadline_unix_s: float) -> Sequence[Stored]:
        """List a prefix when the rate allows it."""
        await self._rate.take('list', deadline_unix_s)
        return await self._store.list(prefix, deadline_unix_s)

    async def swap(
        self, key: str, value: bytes, version: int, deadline_unix_s: float, lease_id: int = 0
    ) -> Any:
        """Write a key when the rate allows it."""
        await self._rate.take('swap', deadline_unix_s)
        return await self._store.swap(key, value, version, deadline_unix_s, lease_id)

    async def grant(self, ttl_s: int, deadline_unix_s: float) -> int:
        """Create a lease when the rate allows it."""
        await self._rate.take('lease', deadline_unix_s)
        return await self._store.grant(ttl_s, deadline_unix_s)

    async def keep_alive(self, lease_id: int, deadline_unix_s: float) -> bool:
        """Extend a lease when the rate allows it."""
        await self._rate.take('lease', deadline_unix_s)
        return await self._store.keep_alive(lease_id, deadline_unix_s)

    async def watch(self, prefix: str, after_version: int) -> AsyncIterator[Stored]:
        """Watch a prefix when the rate allows it."""
        await self._rate.take('watch', self._clock.now_s() + WAIT_LIMIT_S)
        async for stored in self._store.watch(prefix, after_version):
            yield stored


class RatedFleet(MemoryFleet):
    """A fleet whose instances limit their store calls to their shares."""

    def __init__(self, *rest: Any) -> None:
        """Initialize with no instances."""
        super().__init__(*rest)
        self.rates: dict[str, StoreRate] = {}

    def _ports(self, address: str) -> Ports:
        ports = super()._ports(address)
        rate = StoreRate(PlatformSettings(), self.clock)
        self.rates[address] = rate
        return ports._replace(store=RatedStore(ports.store, rate, self.clock), rate=rate)


class RatedStart:
    """The start of a fleet of four routers, with a request as early as possible."""

    def __init__(self) -> None:
        """Initialize with no calls and no response."""
        self.refused = 0
        self.routers: list[int] = []
        self.calls: dict[str, dict[str, int]] = {}
        self.response: Got | None = None

    def play(self) -> None:
        """Start the fleet, apply declarations, send a request and record the results."""
        virtual.run(self._play)

    async def _play(self) -> None:
        async with anyio.create_task_group() as group:
            fleet = RatedFleet(group)
            fleet.add_routers(*fault_scene.ROUTERS)
            fleet.add_sidecar(fault_scene.SIDECARS[0])
            await anyio.sleep(START_DELAY_S)
            text = fault_scene.DECLARATIONS + fault_scene.SERVER.format(
                name='llm-1', data_centre='porto-a'
            )
            reply = await fleet.command('r1', f'apply file:azulejo.toml base:0\n{text}')
            assert reply['status'] == 0, reply
            await anyio.sleep(START_DELAY_S)
            caller = fleet.caller('r1', fault_scene.KEY)
            message = {'role': 'user', 'content': 'which board?'}
            body = {'model': 'board', 'max_tokens': 8, 'messages': [message]}
            self.response = await caller.post(fault_scene.CHAT, body)
            await anyio.sleep(DISCOVERY_S)
            for name in ('r1', 'r2', 'r3', 'r4'):
                rate = fleet.rates[fleet.running[name].address]
                self.calls[name] = dict(rate.calls)
                self.routers.append(rate.routers)
            self.refused = sum(each.refused.total() for each in fleet.rates.values())
            group.cancel_scope.cancel()
