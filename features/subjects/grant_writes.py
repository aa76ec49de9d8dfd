"""Subject: many routers that meet an account for the first time, and its allocator."""

from random import Random

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes.allocator import Allocator
from endivesaddle.fleet.routes.allocator_choice import AllocatorChoice
from endivesaddle.fleet.routes.call_times import TimedPeers
from endivesaddle.fleet.routes.declared import Declarations, RouteAccount
from endivesaddle.fleet.routes.grant_group import AllocatorContext
from endivesaddle.fleet.routes.prepaid_pools import PrepaidPools, PrepaidPoolsParts
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routes.write_intervals import AllocatorSettings
from endivesaddle.fleet.sentinels import Refusal
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.links_loop import ScenarioLoop

ALLOCATOR = '10.0.1.0:1'
ACCOUNT = RouteAccount('ateliers', (), None, 10_000_000)
ARRIVALS_S = 0.5
GRANTED_S = 0.05
"""The first grant is written within this time, ten answers of the store."""
STORE_ANSWER_S = 0.004


class OneSidecar:
    """The other instances as each router sees them."""

    sidecars = (ALLOCATOR,)
    others: dict[str, str] = {}  # noqa: RUF012 (never changed)
    loaded = True


class GrantWrites:
    """Routers that send requests at random within half a second, with one interval of writes."""

    def __init__(self, interval_s: float, routers: int, lost_answers: int = 0) -> None:
        """Start an allocator and routers that have drawn nothing."""
        self.refused = 0
        self.longest_s = 0.0
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self._store = MemoryStore(self._clock)
        self._store.delay_s = STORE_ANSWER_S
        self._lost_answers = lost_answers
        self._net = MemoryNet(self._clock)
        settings = AllocatorSettings(interval_s)
        self.allocator = Allocator(
            AllocatorContext(
                'sidecar-1',
                ALLOCATOR,
                self._store,
                self._clock,
                self._net.peers(ALLOCATOR),
                settings,
            )
        )
        handlers = Handlers()
        self.allocator.register(handlers)
        self._net.serve(ALLOCATOR, handlers)
        self._routers = [self._router(f'router-{number}') for number in range(routers)]

    def replay(self, requests: int, seed: int) -> int:
        """Send requests at random times; return the number of calls to the store."""
        self._loop.run(self._replay, requests, Random(seed))
        self._loop.close()
        return self._store.calls['read'] + self._store.calls['swap']

    def _router(self, name: str) -> PrepaidPools:
        routing_state = RoutingState()
        routing_state.declare(Declarations(1, (), (), (ACCOUNT,)), b'', 'test')
        choice = AllocatorChoice(OneSidecar(), name, self._clock)
        peers = TimedPeers(self._net.peers(name), self._clock)
        pools = PrepaidPools(
            PrepaidPoolsParts(name, name, routing_state, choice, self.allocator, peers, self._clock)
        )
        handlers = Handlers()
        pools.register(handlers)
        self._net.serve(name, handlers)
        return pools

    async def _replay(self, requests: int, random: Random) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self.allocator.run)
            # One router has been running, so that the allocator owns the account.
            await self._routers[0].check()
            await anyio.sleep(GRANTED_S)
            self._store.lose_answers = self._lost_answers
            async with anyio.create_task_group() as sent:
                for number in range(requests):
                    pools = self._routers[number % len(self._routers)]
                    sent.start_soon(
                        self._send, pools, random.uniform(0, ARRIVALS_S), random.randint(500, 5000)
                    )
            group.cancel_scope.cancel()

    async def _send(self, pools: PrepaidPools, after_s: float, tokens: int) -> None:
        await anyio.sleep(after_s)
        began_unix_s = self._clock.now_s()
        reservation = await pools.reserve(ACCOUNT, tokens)
        self.refused += isinstance(reservation, Refusal)
        self.longest_s = max(self.longest_s, self._clock.now_s() - began_unix_s)
