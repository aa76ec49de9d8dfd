"""Subject: many routers that report to each other only through the aggregator of a sidecar."""

import asyncio
from collections.abc import Sequence
from random import Random
from typing import Any

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes.declaration_index import DeclarationIndex
from endivesaddle.fleet.routes.declared import Declarations
from endivesaddle.fleet.routes.leaving_servers import LeavingIncarnation
from endivesaddle.fleet.routes.peer_routers import PeerRouterParts, PeerRouters
from endivesaddle.fleet.routes.report_aggregator import ReportAggregator
from endivesaddle.fleet.routes.routing_state import RoutingState, StoreStatus
from endivesaddle.fleet.routing.crash_blame import EndedRun
from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.wire import routers_pb2, rpcs
from subjects.cut_router import NoDocuments
from subjects.links_loop import ScenarioLoop

AGGREGATOR = '10.1.0.0:1'
START_S = 20.0
CHECK_S = 0.05
MAX_S = 20.0
RUN_S = 0.1


class FixedDirectory:
    """An instance directory that holds all routers from the start."""

    def __init__(self, others: dict[str, str]) -> None:
        """Initialize with ``others`` and one sidecar."""
        self.others = others
        self.sidecars: tuple[str, ...] = (AGGREGATOR,)
        self.aggregators = (AGGREGATOR,)
        self.settled = True
        self.view_listeners: list[Any] = []

    def note_call(self, lifetime: str, address: str) -> None:
        """Ignore a call: all routers are known."""


class UpdateRouter:
    """One router's state, and its exchanges with others."""

    def __init__(self, number: int, addresses: dict[str, str], net: MemoryNet) -> None:
        """Build its parts."""
        clock = LoopClock()
        name = f'router-{number}'
        self.dispatcher: Dispatcher
        self.routing_state = RoutingState()
        self.routing_state.declarations = DeclarationIndex(Declarations(1, (), (), ()))
        store_status = StoreStatus(clock)
        store_status.answered()
        others = {other: address for other, address in addresses.items() if other != name}
        dispatcher = Dispatcher(ForwardSettings(), self.routing_state, clock, name)
        self.dispatcher = dispatcher
        parts = PeerRouterParts(
            self.routing_state, store_status, dispatcher, FixedDirectory(others), NoDocuments(), ()
        )
        address = addresses[name]
        self.peer_routers = PeerRouters(parts, net.peers(address), clock, name, address)
        handlers = Handlers()
        self.peer_routers.register(handlers)
        net.serve(address, handlers)


class UpdateFleet:
    """Such routers and one aggregator; each call runs on one loop in virtual time."""

    def __init__(self, routers: int) -> None:
        """Start them, and let their first polls pass."""
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self._net = MemoryNet(self._clock)
        self._random = Random(3)
        self._calls = 0
        self._routers: list[UpdateRouter] = []
        self._loop.run(self._start, routers)

    def close(self) -> None:
        """End the loop."""
        self._loop.close()

    def spread_s(self, times: int) -> list[float]:
        """Notify one router of servers that leave; return how long it took to reach all others."""
        return [self._loop.run(self._spread, number) for number in range(times)]

    @property
    def count(self) -> int:
        """Return the number of routers."""
        return len(self._routers)

    @property
    def calls(self) -> int:
        """Return the calls that the aggregator got since the start."""
        return self._calls

    def now_s(self) -> float:
        """Return the time, in seconds."""
        now_unix_s: float = self._loop.run(self._now)
        return now_unix_s

    def calls_while(self, seconds: float) -> int:
        """Return the calls that the aggregator gets in the next seconds."""
        before = self._calls
        self._loop.run(anyio.sleep, seconds)
        return self._calls - before

    def crash(self, subjects: Sequence[str], server: str) -> None:
        """Crash a server under a request that one router sent."""
        self._loop.run(self._crash, subjects, server)

    def answer(self, subjects: Sequence[str]) -> None:
        """Answer a request that one router sent."""
        self._loop.run(self._answer, subjects)

    def sleep(self, seconds: float) -> None:
        """Let time pass."""
        self._loop.run(anyio.sleep, seconds)

    def holding(self, subject: str) -> int:
        """Return the number of routers that hold a subject back."""
        now_unix_s = self.now_s()
        return sum(
            router.dispatcher.crashes.held_s(subject, now_unix_s) > 0 for router in self._routers
        )

    async def _crash(self, subjects: Sequence[str], server: str) -> None:
        now_unix_s = self._clock.now_s()
        run = EndedRun(now_unix_s - RUN_S, now_unix_s)
        crashes = self._random.choice(self._routers).dispatcher.crashes
        crashes.record_crash(subjects, server, run, now_unix_s)

    async def _answer(self, subjects: Sequence[str]) -> None:
        now_unix_s = self._clock.now_s()
        crashes = self._random.choice(self._routers).dispatcher.crashes
        crashes.record_success(subjects, now_unix_s, now_unix_s)

    async def _now(self) -> float:
        return self._clock.now_s()

    async def _start(self, routers: int) -> None:
        aggregator = ReportAggregator(self._clock, 'board-1')
        handlers = Handlers()
        aggregator.register(handlers)
        answer = handlers.unary[rpcs.BOARD.path]

        async def counted(request: routers_pb2.BoardRequest) -> routers_pb2.BoardReply:
            self._calls += 1
            return await answer(request)

        handlers.unary[rpcs.BOARD.path] = counted
        self._net.serve(AGGREGATOR, handlers)
        addresses = {f'router-{n}': f'10.0.{n // 250}.{n % 250}:1' for n in range(routers)}
        for number in range(routers):
            router = UpdateRouter(number, addresses, self._net)
            self._routers.append(router)
            asyncio.ensure_future(router.peer_routers.run())
        await anyio.sleep(START_S)
        self._calls = 0

    async def _spread(self, number: int) -> float:
        await anyio.sleep(self._random.uniform(0, 1))
        leaving = LeavingIncarnation(f'life-{number}', 0)
        began_unix_s = self._clock.now_s()
        self._random.choice(self._routers).routing_state.leaving_servers.add(leaving, 'answer')
        while self._clock.now_s() < began_unix_s + MAX_S:
            if all(
                router.routing_state.leaving_servers.is_leaving(leaving) for router in self._routers
            ):
                break
            await anyio.sleep(CHECK_S)
        return self._clock.now_s() - began_unix_s
