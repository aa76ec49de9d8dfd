"""Subject: the token pools of many routers, with sidecars that own the grants, under load."""

import asyncio
import contextlib
from collections import Counter
from random import Random
from typing import Any

import anyio

from endivesaddle.fleet.errors import PeerNoReply
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes.allocator import Allocator
from endivesaddle.fleet.routes.allocator_choice import AllocatorChoice
from endivesaddle.fleet.routes.call_times import TimedPeers
from endivesaddle.fleet.routes.declared import Declarations, RouteAccount
from endivesaddle.fleet.routes.grant_group import AllocatorContext
from endivesaddle.fleet.routes.prepaid_pools import PrepaidPools, PrepaidPoolsParts
from endivesaddle.fleet.routes.reservation import Reservation
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routes.sidecar_admission import serve_admission
from endivesaddle.fleet.routes.supply import SupplySettings
from endivesaddle.fleet.routing.engine_admission import EngineAdmission
from endivesaddle.fleet.sentinels import Refusal
from endivesaddle.wire import rpcs
from endivesaddle.wire.routers_pb2 import EnterRequest
from subjects.router_fleet import RouterFleet
from subjects.slow_own_link import ENTER_PAUSE_S, ENTER_S, SlowNet

ACCOUNTS = 4
TOKENS = (200, 4000)
"""Smallest and largest request."""
DEADLINE_S = 2.0
RUN_S = 0.2


class Sidecars:
    """The instances that every router knows: the sidecars."""

    loaded = True

    def __init__(self, sidecars: tuple[str, ...]) -> None:
        """Initialize without other routers."""
        self.sidecars = sidecars
        self.others: dict[str, str] = {}


class SupplyFleet(RouterFleet):
    """Routers of which only the token pools run; router 0 may have a slow link."""

    def __init__(self, routers: int, total: int, policy: str, seed: int = 1) -> None:
        """Start the routers, and four sidecars that own the grants."""
        super().__init__(0)
        self._net = SlowNet(self._clock)
        self._random = Random(seed)
        self.total = total
        self.refused: Counter[str] = Counter()
        self.most_held = 0
        self.pools: list[PrepaidPools] = []
        self._peers: list[TimedPeers] = []
        self.accounts = [
            RouteAccount(f'account-{number}', (), None, total) for number in range(ACCOUNTS)
        ]
        self._sidecar_addresses = tuple(f'10.0.1.{number}:1' for number in range(4))
        self._running: list[asyncio.Future[None]] = []
        self._loop.run(self._start, routers, SupplySettings(policy))

    def slow(self, delay_s: float) -> None:
        """Delay the calls of router 0."""
        self._net.slow.delay_s = delay_s

    def silence(self) -> None:
        """Lose all messages between router 0 and the sidecars."""
        self._net.part({_address(0)}, set(self._sidecar_addresses))

    def calls(self) -> int:
        """Return the number of calls to allocators until now."""
        # The net counts a call and its reply.
        return self._net.calls.get(rpcs.DRAW.path, 0) // 2

    def load(self, per_s: float, seconds: float, share: float) -> None:
        """Send requests, of which router 0 gets ``share`` times as many as another router."""
        self._loop.run(self._load, per_s, seconds, share)

    def reserve(
        self, tokens: int, deadline_s: float, cancel_s: float = 60
    ) -> tuple[Reservation | Refusal | None, float]:
        """Send a request to router 0; return what came of it and how long that took."""
        return self._loop.run(self._reserve, tokens, deadline_s, cancel_s)

    def reserve_in_order(self, sizes: list[int]) -> list[int]:
        """Send requests to router 0 at once; return the sizes in the order of admission."""
        return self._loop.run(self._reserve_in_order, sizes)

    def spent_share(self) -> float:
        """Return the largest share of a total that is used."""
        used: Counter[str] = Counter()
        for pools in self.pools:
            used.update({name: int(one['spent_tokens']) for name, one in pools.dump().items()})
        return max(used.values()) / self.total

    def unused(self) -> int:
        """Return the tokens that routers hold and don't use."""
        return sum(pools.counters()['supply_tokens_in_hand'] for pools in self.pools)

    async def _start(self, routers: int, supply: SupplySettings) -> None:
        for number, address in enumerate(self._sidecar_addresses):
            handlers = Handlers()
            context = AllocatorContext(f's{number}', address, self._store, self._clock)
            allocator = Allocator(context)
            allocator.register(handlers)
            serve_admission(handlers, EngineAdmission(), self._clock)
            self._net.serve(address, handlers)
            self._running.append(asyncio.ensure_future(allocator.run()))
        for number in range(routers):
            self._start_router(number, routers, supply)
        await anyio.sleep(2)

    def _start_router(self, number: int, routers: int, supply: SupplySettings) -> None:
        address = _address(number)
        routing_state = RoutingState()
        routing_state.declare(Declarations(1, (), (), tuple(self.accounts)), b'', 'test')
        choice = AllocatorChoice(Sidecars(self._sidecar_addresses), address, self._clock)
        peers = TimedPeers(self._net.peers(address), self._clock)
        own = Allocator(AllocatorContext(f'r{number}', address, self._store, self._clock))
        parts = PrepaidPoolsParts(
            f'r{number}', address, routing_state, choice, own, peers, self._clock, supply
        )
        pools = PrepaidPools(parts)
        pools.routers = routers
        self.pools.append(pools)
        self._peers.append(peers)
        self._running.append(asyncio.ensure_future(pools.run()))

    async def _load(self, per_s: float, seconds: float, share: float) -> None:
        weights = [1 if number else share for number, _ in enumerate(self.pools)]
        async with anyio.create_task_group() as group:
            group.start_soon(self._ask_engines, seconds)
            end_unix_s = self._clock.now_s() + seconds
            while self._clock.now_s() < end_unix_s:
                pools = self._random.choices(self.pools, weights)[0]
                account = self._random.choice(self.accounts)
                group.start_soon(self._one, pools, account, self._random.randint(*TOKENS))
                await anyio.sleep(self._random.expovariate(per_s))
                self._measure()

    async def _one(self, pools: PrepaidPools, account: RouteAccount, tokens: int) -> None:
        end_unix_s = self._clock.now_s() + DEADLINE_S
        reservation = await pools.reserve(account, tokens, '', end_unix_s)
        if isinstance(reservation, Refusal):
            self.refused[reservation.code] += 1
            return
        await anyio.sleep(RUN_S)
        reservation.settle(tokens // 2)

    async def _ask_engines(self, seconds: float) -> None:
        """Ask for admission to engines from router 0, as prompts do."""
        for number in range(int(seconds / ENTER_PAUSE_S)):
            address = self._sidecar_addresses[number % len(self._sidecar_addresses)]
            asked = EnterRequest(lifetime='r0', number=number)
            with contextlib.suppress(PeerNoReply):
                await self._peers[0].call(address, rpcs.ENTER, asked, self._clock.now_s() + ENTER_S)
            await anyio.sleep(ENTER_PAUSE_S)

    def _measure(self) -> None:
        """Keep the most that router 0 held of one account beyond its requests in flight."""
        for held in self.pools[0].dump().values():
            free = held['granted_tokens'] - held['spent_tokens'] - held['reserved_tokens']
            self.most_held = max(self.most_held, int(free))

    async def _reserve(self, tokens: int, deadline_s: float, cancel_s: float) -> Any:
        began_unix_s = self._clock.now_s()
        made = None
        with anyio.move_on_after(cancel_s):
            made = await self.pools[0].reserve(
                self.accounts[0], tokens, '', began_unix_s + deadline_s
            )
        return made, self._clock.now_s() - began_unix_s

    async def _reserve_in_order(self, sizes: list[int]) -> list[int]:
        admitted: list[int] = []

        async def one(tokens: int) -> None:
            made, _ = await self._reserve(tokens, DEADLINE_S, 60)
            if isinstance(made, Reservation):
                admitted.append(tokens)

        async with anyio.create_task_group() as group:
            for tokens in sizes:
                group.start_soon(one, tokens)
        return admitted


def _address(number: int) -> str:
    return f'10.0.0.{number}:1'
