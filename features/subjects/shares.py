"""Subject: several routers that share a prepaid total through one store."""

import asyncio

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes.allocator import Allocator
from endivesaddle.fleet.routes.allocator_choice import AllocatorChoice
from endivesaddle.fleet.routes.call_times import TimedPeers
from endivesaddle.fleet.routes.declared import Declarations, RouteAccount
from endivesaddle.fleet.routes.grant_group import GROUPS, PREFIX, AllocatorContext
from endivesaddle.fleet.routes.grants import GrantEntry, decode
from endivesaddle.fleet.routes.prepaid_pools import PrepaidPools, PrepaidPoolsParts
from endivesaddle.fleet.routes.reservation import Reservation
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.sentinels import Refusal
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.links_loop import ScenarioLoop

ACCOUNT = 'ateliers'


class Others:
    """The other routers from the view of one router; there are no sidecars."""

    sidecars = ()
    loaded = True

    def __init__(self, shares: 'Shares', name: str) -> None:
        """Initialize with the routers of ``shares`` except ``name``."""
        self._shares = shares
        self._name = name

    @property
    def others(self) -> dict[str, str]:
        """Addresses of the other routers by incarnation."""
        return {name: name for name in self._shares.names if name != self._name}


class Shares:
    """Routers that share one account; each call runs on one event loop in virtual time."""

    def __init__(self, routers: int, total: int) -> None:
        """Start ``routers`` over an empty store."""
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self.store = MemoryStore(self._clock)
        self.total = total
        self.spent = 0
        self.version = 0
        self.names: list[str] = []
        self.pools: dict[str, PrepaidPools] = {}
        self.allocators: dict[str, Allocator] = {}
        self.routing_state: dict[str, RoutingState] = {}
        self.net = MemoryNet(self._clock)
        self._running: dict[str, anyio.CancelScope] = {}
        self._tasks: list[asyncio.Future[None]] = []
        self._loop.run(self._start_all, routers)

    def close(self) -> None:
        """Close the event loop."""
        self._loop.close()

    def declare(self, total: int) -> None:
        """Declare a new total to all routers."""
        self.total = max(self.total, total)
        self.version += 1
        for routing_state in self.routing_state.values():
            routing_state.declare(self._declared(total), b'', 'test')

    def spend(self, router: int, tokens: int, worst: int = 0) -> bool:
        """Send one request to a router; return whether it was admitted."""
        return self._loop.run(self._spend, self.names[router], tokens, worst or tokens)

    def hold(self, router: int, tokens: int) -> Reservation | Refusal:
        """Reserve for a request and keep it open."""
        return self._loop.run(self._reserve, self.names[router], tokens)

    def hold_together(self, router: int, tokens: int, count: int) -> list[Reservation | Refusal]:
        """Reserve for concurrent requests and keep them open."""
        return self._loop.run(self._reserve_together, self.names[router], tokens, count)

    def release_all(self) -> None:
        """Have all routers give back unused tokens."""
        self._loop.run(self._release)

    def kill_all(self) -> None:
        """Kill all routers with their state, and start as many new ones."""
        count = len(self.names)
        self._loop.run(self._kill)
        self._loop.run(self._start_all, count)

    def lose_store(self, lost: bool) -> None:
        """Make the store unavailable to all routers, or available again."""
        self._loop.run(self._lose_store, lost)

    def sleep(self, seconds: float) -> None:
        """Let virtual time pass."""
        self._loop.run(anyio.sleep, seconds)

    def granted(self) -> int:
        """Return the sum of all grants in the store."""
        return sum(entry.granted for entry in self._entries().values())

    def granted_to(self, router: int) -> int:
        """Return the tokens that a router has drawn and not given back."""
        return int(self.pools[self.names[router]].dump()[ACCOUNT]['granted_tokens'])

    def unallocated(self) -> int:
        """Return the tokens that are granted on record and that no router holds."""
        held = sum(self.granted_to(router) for router, _ in enumerate(self.names))
        return self.granted() - held

    def used_by(self, router: int) -> int:
        """Return the tokens that a router has spent and reserved."""
        share = self.pools[self.names[router]].dump()[ACCOUNT]
        return int(share['spent_tokens'] + share['reserved_tokens'])

    def release(self, router: int) -> None:
        """Have one router give back unused tokens."""
        self._loop.run(self._release_one, self.names[router])

    def writes(self) -> int:
        """Return the number of writes that the store counted."""
        return self.store.calls['swap']

    def _entries(self) -> dict[str, GrantEntry]:
        keys = [self.store.kept(f'{PREFIX}{number}') for number in range(GROUPS)]
        records = [decode(stored.value).accounts for stored in keys if stored and stored.value]
        return next(record[ACCOUNT].entries for record in records if ACCOUNT in record)

    async def _lose_store(self, lost: bool) -> None:
        self.store.fail(lost)

    async def _start_all(self, count: int) -> None:
        self.names = []
        for _ in range(count):
            await self._start(f'router-{len(self.pools)}')

    async def _start(self, name: str) -> None:
        routing_state = RoutingState()
        routing_state.declare(self._declared(self.total), b'', 'test')
        allocator = Allocator(AllocatorContext(name, name, self.store, self._clock))
        choice = AllocatorChoice(Others(self, name), name, self._clock)
        peers = self.net.peers(name)
        timed = TimedPeers(peers, self._clock)
        pools = PrepaidPools(
            PrepaidPoolsParts(name, name, routing_state, choice, allocator, timed, self._clock)
        )
        handlers = Handlers()
        allocator.register(handlers)
        self.net.serve(name, handlers)
        self.names.append(name)
        self.pools[name] = pools
        self.allocators[name] = allocator
        self.routing_state[name] = routing_state
        self._running[name] = anyio.CancelScope()
        self._loop_task(name)
        await anyio.sleep(0.2)

    def _loop_task(self, name: str) -> None:
        async def run() -> None:
            with self._running[name]:
                async with anyio.create_task_group() as group:
                    group.start_soon(self.allocators[name].run)
                    group.start_soon(self.pools[name].run)

        self._tasks.append(asyncio.ensure_future(run()))

    async def _release(self) -> None:
        for name in self.names:
            await self._release_one(name)

    async def _release_one(self, name: str) -> None:
        await self.pools[name].release()
        await self.allocators[name].release()

    async def _kill(self) -> None:
        for name in self.names:
            self.net.kill(name)
            self._running[name].cancel()
        await anyio.sleep(0)

    async def _spend(self, name: str, tokens: int, worst: int) -> bool:
        reservation = await self._reserve(name, worst)
        if isinstance(reservation, Refusal):
            return False
        reservation.settle(tokens)
        self.spent += tokens
        return True

    async def _reserve(self, name: str, tokens: int) -> Reservation | Refusal:
        account = RouteAccount(ACCOUNT, (), None, self.total)
        return await self.pools[name].reserve(account, tokens)

    async def _reserve_together(
        self, name: str, tokens: int, count: int
    ) -> list[Reservation | Refusal]:
        return await asyncio.gather(*(self._reserve(name, tokens) for _ in range(count)))

    def _declared(self, total: int) -> Declarations:
        return Declarations(self.version + 1, (), (), (RouteAccount(ACCOUNT, (), None, total),))
