"""Subject: a router whose calls to all other instances are slow, and an allocator."""

import asyncio
from typing import Any

import anyio

from endivesaddle.fleet.errors import PeerNoReply
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes.allocator import Allocator
from endivesaddle.fleet.routes.allocator_choice import AllocatorChoice
from endivesaddle.fleet.routes.declared import RouteAccount
from endivesaddle.fleet.routes.grant_group import AllocatorContext, group_of
from endivesaddle.fleet.routes.instance_directory import (
    SIDECAR,
    SIDECAR_LEASE_S,
    Instance,
    InstanceEntry,
)
from endivesaddle.fleet.routes.sidecar_admission import serve_admission
from endivesaddle.fleet.routing.engine_admission import EngineAdmission
from endivesaddle.fleet.sentinels import Refusal
from endivesaddle.stand_ins.memory_peers import MemoryNet, MemoryPeers
from endivesaddle.wire import rpcs
from endivesaddle.wire.routers_pb2 import EnterRequest
from subjects.cut_router import CutRouter
from subjects.router_fleet import RouterFleet

ROUTER = '10.0.0.0:1'
ACCOUNT = RouteAccount('ateliers', (), None, 10_000_000)
START_S = 4.0
ENTER_S = 0.06
ENTER_PAUSE_S = 0.05


class SlowPeers(MemoryPeers):
    """Peers whose calls take ``delay_s`` longer."""

    delay_s = 0.0

    async def call(self, address: str, rpc: Any, message: Any, deadline_unix_s: float) -> Any:
        """Make one call, which fails if it would exceed its deadline."""
        left_s = deadline_unix_s - self._net.clock.now_s()
        if self.delay_s >= left_s:
            await anyio.sleep(max(0, left_s))
            raise PeerNoReply(f'{address} did not answer {rpc.path}: TimeoutError')
        await anyio.sleep(self.delay_s)
        return await super().call(address, rpc, message, deadline_unix_s)


class SlowNet(MemoryNet):
    """A network in which one router's own link can be slow."""

    def __init__(self, clock: Any) -> None:
        """Initialize with fast links."""
        super().__init__(clock)
        self.slow = SlowPeers(self, ROUTER)

    def peers(self, address: str) -> MemoryPeers:
        """Return the peers as called by the instance at ``address``."""
        return self.slow if address == ROUTER else super().peers(address)


class SlowOwnLink(RouterFleet):
    """One router, and sidecars that own accounts and run beside engines."""

    def __init__(self, sidecars: int) -> None:
        """Start them, and let the allocator get a grant."""
        super().__init__(0)
        self._net = SlowNet(self._clock)
        self._addresses = [f'10.0.1.{number}:1' for number in range(sidecars)]
        self._running: list[asyncio.Future[None]] = []
        self.refused = 0
        self._loop.run(self._start)

    def slow(self, delay_s: float) -> None:
        """Delay the router's own calls."""
        self._net.slow.delay_s = delay_s

    def silence_allocator(self) -> None:
        """Cut the allocator of the account off from the router."""
        self._loop.run(self._silence_allocator)

    def send_requests(self, per_s: float, tokens: int, seconds: float) -> None:
        """Reserve and settle for requests, while prompts ask for admission to engines."""
        self._loop.run(self._send_requests, per_s, tokens, seconds)

    async def _start(self) -> None:
        for number, address in enumerate(self._addresses):
            await self._sidecar(f's{number}', address)
        self._router = CutRouter('router-0', ROUTER, self._net, self._store)
        self._router.start(ACCOUNT)
        await anyio.sleep(START_S)
        await self._send_requests(20, 1000, 3)
        assert not self.refused

    async def _silence_allocator(self) -> None:
        choice = AllocatorChoice(self._router.directory, ROUTER, self._clock)
        self._net.part({ROUTER}, {choice.ranked(group_of(ACCOUNT.name))[0]})

    async def _sidecar(self, name: str, address: str) -> None:
        handlers = Handlers()
        allocator = Allocator(AllocatorContext(name, address, self._store, self._clock))
        allocator.register(handlers)
        serve_admission(handlers, EngineAdmission(), self._clock)
        self._net.serve(address, handlers)
        self._running.append(asyncio.ensure_future(allocator.run()))
        own = Instance(SIDECAR, name, address, 'porto-a')
        await InstanceEntry(self._store, self._clock, own, SIDECAR_LEASE_S).renew()

    async def _send_requests(self, per_s: float, tokens: int, seconds: float) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._ask_engines, seconds)
            for _ in range(int(per_s * seconds)):
                group.start_soon(self._one, tokens)
                await anyio.sleep(1 / per_s)

    async def _one(self, tokens: int) -> None:
        reservation = await self._router.pools.reserve(ACCOUNT, tokens)
        if isinstance(reservation, Refusal):
            self.refused += 1
            return
        await anyio.sleep(0.2)
        reservation.settle(tokens)

    async def _ask_engines(self, seconds: float) -> None:
        """Ask sidecars for admission to their engines, as prompts do."""
        end_unix_s = self._clock.now_s() + seconds
        number = 0
        while self._clock.now_s() < end_unix_s:
            number += 1
            address = self._addresses[number % len(self._addresses)]
            asked = EnterRequest(lifetime='router-0', number=number)
            deadline_unix_s = self._clock.now_s() + ENTER_S
            try:
                await self._router.peers.call(address, rpcs.ENTER, asked, deadline_unix_s)
            except PeerNoReply:
                continue
            await anyio.sleep(ENTER_PAUSE_S)
