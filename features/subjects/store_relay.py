"""Subject: routers that are cut off from the store, and sidecars that are not."""

import asyncio
from collections import Counter
from collections.abc import Sequence
from functools import partial
from typing import Any

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.errors import FleetError
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes.allocator import Allocator
from endivesaddle.fleet.routes.declared import RouteAccount, RouteServer
from endivesaddle.fleet.routes.failover_store import SHARED, StoreCall
from endivesaddle.fleet.routes.grant_group import AllocatorContext
from endivesaddle.fleet.routes.instance_directory import (
    PREFIX,
    ROUTER,
    SIDECAR,
    Instance,
    InstanceDirectory,
    InstanceEntry,
)
from endivesaddle.fleet.routes.remote_store import RemoteStore, answer_store
from endivesaddle.fleet.routes.report_aggregator import ReportAggregator
from endivesaddle.fleet.routes.reservation import Reservation
from endivesaddle.fleet.routes.store_watch import Changes
from endivesaddle.fleet.routes.supply import SupplySettings
from endivesaddle.fleet.routing.backends import Backend, ForwardRoutingRequest
from endivesaddle.fleet.routing.dispatcher import Placement
from endivesaddle.fleet.sentinels import Refusal
from endivesaddle.stand_ins.memory_peers import Fault, MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from endivesaddle.wire import rpcs
from subjects.cut_router import CutRouter
from subjects.links_loop import ScenarioLoop

ACCOUNT = RouteAccount('ateliers', (), None, 0)
SERVER = RouteServer('life-1', 'engines', '10.0.2.1:1', 'porto-a', 64)
DEADLINE_S = 1.0
"""Time that a request has; routers that draw ahead wait for tokens accordingly."""
SHARED_PART = 'shared'
ROUTERS = f'{PREFIX}{ROUTER}/'


class CutFleet:
    """Routers and sidecars with one store; each call runs on one event loop in virtual time."""

    def __init__(
        self,
        routers: int,
        sidecars: int,
        total: int,
        supply: SupplySettings = SupplySettings(),
    ) -> None:
        """Start them, and let them find each other."""
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self.total = total
        self._supply = supply
        self._router_incarnations = 0
        self._sidecar_incarnations = 0
        self.store = MemoryStore(self._clock)
        self.net = MemoryNet(self._clock)
        self.spent = 0
        self.router_lists = 0
        self.reads: list[Any] = []
        self.allocators: list[Allocator] = []
        self._allocator_tasks: list[asyncio.Future[None]] = []
        self.routers: list[CutRouter] = []
        self.failed_polls: Counter[str] = Counter()
        self._entries: list[InstanceEntry] = []
        self._loop.run(self._start, routers, sidecars)

    def close(self) -> None:
        """Close the event loop."""
        self._loop.close()

    @property
    def directories(self) -> list[InstanceDirectory]:
        """Each router's directory of the other instances."""
        return [router.directory for router in self.routers]

    def cut(self, cut: bool) -> None:
        """Cut all routers off from the store, or reconnect them."""
        for router in self.routers:
            router.cut.cut = cut

    def silence(self, sidecar: int) -> None:
        """Lose a sidecar's messages."""
        self.net.part({router.address for router in self.routers}, {_sidecar(sidecar)})

    def lose_replies(self) -> None:
        """Lose the sidecars' answers."""
        for router in self.routers:
            for address in router.directory.sidecars:
                self.net.faults[router.address, address] = Fault.LOST_REPLY

    def sleep(self, seconds: float) -> None:
        """Let virtual time pass."""
        self._loop.run(anyio.sleep, seconds)

    def spend(self, router: int, tokens: int) -> bool:
        """Send one request; return whether it was admitted."""
        return self._loop.run(self._spend, router, tokens)

    def hold(self, router: int, tokens: int) -> Reservation | Refusal:
        """Reserve for a request and keep it open."""
        return self._loop.run(self.routers[router].pools.reserve, self._account(), tokens)

    def kill(self, router: int) -> None:
        """Kill a router, and start its next incarnation."""
        self._loop.run(self._kill, router)

    def lose_sidecar(self, sidecar: int) -> None:
        """Kill a sidecar; nothing listens at its address afterwards."""
        self._loop.run(self._lose_sidecar, sidecar)

    def kill_all(self) -> None:
        """Kill and restart all routers and sidecars, and count lists of routers from then on."""
        self._loop.run(self._kill_all)

    def kill_sidecar(self, sidecar: int) -> None:
        """Kill a sidecar, and start its next incarnation."""
        self._loop.run(self._start_sidecar, sidecar)

    def stop_sidecar(self, sidecar: int) -> None:
        """Stop a sidecar gracefully."""
        self._loop.run(self._stop_sidecar, sidecar)

    def deregister_sidecar(self, sidecar: int) -> None:
        """Stop a sidecar gracefully, after it has removed its entry."""
        self._loop.run(self._entries[sidecar].remove)
        self.stop_sidecar(sidecar)

    def count_failed_polls(self) -> None:
        """Count each router's failed polls through a sidecar from now on."""
        for router in self.routers:
            router.store.observer = partial(self._count_failed_poll, router.address)

    def stop(self, router: int) -> None:
        """Stop a router gracefully, and start its next incarnation."""
        self._loop.run(self.routers[router].give_back)
        self.kill(router)

    def held_by_sidecars(self) -> int:
        """Return the tokens that sidecars may still hand out."""
        return sum(unallocated(allocator) for allocator in self.allocators)

    def held_by_routers(self) -> int:
        """Return the tokens that routers may still hand out as allocators."""
        return sum(unallocated(router.allocator) for router in self.routers)

    def read(self) -> None:
        """Have each router read a key, and keep the outcomes."""
        self._loop.run(self._read)

    def send(self, router: int, tokens: int) -> None:
        """Have a router send a prompt, half of it shared, to the only backend server."""
        parts = ((SHARED_PART, tokens // 2), ('own', tokens - tokens // 2))
        routing_request = ForwardRoutingRequest('r-1', 'engines', parts, tokens, 100)
        self._loop.run(self._begin, router, routing_request)

    def talks(self) -> int:
        """Return the number of reports that routers sent to each other, and of answers."""
        return self.net.calls.get(rpcs.WORD.path, 0)

    def isolate(self, router: int) -> None:
        """Cut one router off from the others."""
        addresses = {one.address for one in self.routers}
        own = self.routers[router].address
        self.net.part({own}, addresses - {own})

    def backends(self) -> list[Backend]:
        """Return each router's lane of the one backend server."""
        return [router.dispatcher.backends.of(SERVER) for router in self.routers]

    def holds(self, backend: Backend) -> bool:
        """Tell whether a lane is believed to hold the shared part."""
        return self._loop.run(self._holds, backend)

    def relayed(self) -> int:
        """Return the number of calls that the sidecars were asked to make."""
        paths = (rpcs.STORE.path, rpcs.READ.path)
        return sum(self.net.calls.get(path, 0) for path in paths)

    def call(self, path: str, name: str, *arguments: Any) -> Any:
        """Make one call directly or through the first sidecar; return its result or error."""
        return self._loop.run(self._call, path, name, arguments)

    def _count_failed_poll(self, router: str, made: StoreCall) -> None:
        self.failed_polls[router] += made.path == SHARED and made.outcome == 'unreachable'

    async def _begin(self, router: int, routing_request: ForwardRoutingRequest) -> None:
        Placement(self.routers[router].dispatcher, self.backends()[router], routing_request).start()

    async def _holds(self, backend: Backend) -> bool:
        return backend.has_part(SHARED_PART, self._clock.now_s())

    async def _start(self, routers: int, sidecars: int) -> None:
        for number in range(sidecars):
            await self._start_sidecar(number)
            own = Instance(SIDECAR, f's{number}', _sidecar(number), 'porto-a')
            entry = InstanceEntry(self.store, self._clock, own, lease_s=90)
            await entry.renew()
            self._entries.append(entry)
        self.routers = [self._router(place) for place in range(routers)]
        for router in self.routers:
            router.start(self._account())
        await anyio.sleep(2)

    async def _start_sidecar(self, number: int) -> None:
        handlers = Handlers()
        answer_store(handlers, self.store, self._clock)
        self._sidecar_incarnations += 1
        name = f'sidecar-{self._sidecar_incarnations}'
        address = _sidecar(number)
        allocator = Allocator(
            AllocatorContext(name, address, self.store, self._clock, self.net.peers(address))
        )
        allocator.register(handlers)
        ReportAggregator(self._clock, name).register(handlers)
        task = asyncio.ensure_future(allocator.run())
        if number < len(self.allocators):
            self._allocator_tasks[number].cancel()
            self.allocators[number] = allocator
            self._allocator_tasks[number] = task
        else:
            self.allocators.append(allocator)
            self._allocator_tasks.append(task)
        self.net.serve(_sidecar(number), handlers)

    async def _lose_sidecar(self, number: int) -> None:
        self.net.kill(_sidecar(number))
        self._allocator_tasks[number].cancel()

    async def _kill_all(self) -> None:
        for lost, _ in enumerate(self.allocators):
            await self._lose_sidecar(lost)
        for router in self.routers:
            router.kill()
        self._count_lists()
        await anyio.sleep(0.5)
        for place, _ in enumerate(self.allocators):
            await self._start_sidecar(place)
        self.routers = [self._router(number) for number, _ in enumerate(self.routers)]
        for started in self.routers:
            started.start(self._account())

    def _count_lists(self) -> None:
        list_stale = self.store.list_stale

        async def counted(prefix: str, deadline_unix_s: float) -> Changes:
            self.router_lists += prefix == ROUTERS
            return await list_stale(prefix, deadline_unix_s)

        self.store.list_stale = counted  # type: ignore[method-assign]

    async def _stop_sidecar(self, number: int) -> None:
        await self.allocators[number].release()
        await anyio.sleep(2.5)
        await self.allocators[number].release()
        self.net.kill(_sidecar(number))

    def _router(self, number: int) -> CutRouter:
        self._router_incarnations += 1
        return CutRouter(
            f'router-{self._router_incarnations}',
            f'10.0.0.{number}:1',
            self.net,
            self.store,
            supply=self._supply,
        )

    async def _kill(self, number: int) -> None:
        self.routers[number].kill()
        await anyio.sleep(0.5)
        self.routers[number] = self._router(number)
        self.routers[number].start(self._account())
        await anyio.sleep(0.5)

    async def _spend(self, router: int, tokens: int) -> bool:
        end_unix_s = self._clock.now_s() + DEADLINE_S
        reservation = await self.routers[router].pools.reserve(
            self._account(), tokens, '', end_unix_s
        )
        if isinstance(reservation, Refusal):
            return False
        reservation.settle(tokens)
        self.spent += tokens
        return True

    async def _read(self) -> None:
        for router in self.routers:
            try:
                self.reads.append(await router.store.read('a/key', self._clock.now_s() + 0.05))
            except FleetError as error:
                self.reads.append(error)

    async def _call(self, path: str, name: str, arguments: Sequence[Any]) -> Any:
        store: Any = self.store
        if path == 'sidecar':
            peers = self.net.peers(self.routers[0].address)
            store = RemoteStore(_sidecar(0), peers, self._clock)
        if path == 'router':
            store = self.routers[0].store
        try:
            return await getattr(store, name)(*arguments, self._clock.now_s() + 1)
        except FleetError as error:
            return error

    def _account(self) -> RouteAccount:
        return ACCOUNT._replace(total_tokens=self.total)


def _sidecar(number: int) -> str:
    return f'10.0.1.{number}:1'


def unallocated(allocator: Allocator) -> int:
    """Return the tokens that an allocator may still hand out."""
    return int(
        sum(
            one['granted_tokens'] - one['spent_tokens'] - one['routers_tokens']
            for one in allocator.dump().values()
        )
    )
