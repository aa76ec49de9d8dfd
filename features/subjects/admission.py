"""Subject: one router that reports its load to the sidecars beside engines."""

import asyncio
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routes.sidecar_admission import SidecarAdmission, serve_admission
from endivesaddle.fleet.routing.backends import Backends, ForwardRoutingRequest
from endivesaddle.fleet.routing.engine_admission import EngineAdmission, Load
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.wire import rpcs
from subjects.links_loop import ScenarioLoop

ROUTER = 'router-1'
STEP_S = 0.02
ENDS_S = 0.3
LONG_TOKENS = 3000
SHORT_TOKENS = 300


class Sidecars(NamedTuple):
    """An instance directory with sidecars only."""

    sidecars: tuple[str, ...]


class ReportedAdmission:
    """A router and the sidecars of its engines, on one loop in virtual time."""

    def __init__(self, engines: int) -> None:
        """Start them."""
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self._net = MemoryNet(self._clock)
        self._servers = [
            RouteServer(f'life-{number}', 'engines', f'10.0.1.{number}:8', 'a', 64)
            for number in range(engines)
        ]
        self.admissions = [EngineAdmission() for _ in range(engines)]
        self.heard_unix_s: dict[str, float] = {}
        self.seconds = 0.0
        self._carried = 0
        self._loop.run(self._start)

    def close(self) -> None:
        """End the loop."""
        self._loop.close()

    def carry(self, long_per_s: int, short_per_s: int, seconds: float) -> None:
        """Send prompts to the engines in turn."""
        self.seconds = seconds
        self._loop.run(self._carry, long_per_s, short_per_s, seconds)

    def kill(self, seconds: float) -> None:
        """Cancel the router's task, and let time pass."""
        self._task.cancel()
        self._loop.run(anyio.sleep, seconds)

    def calls_per_s(self) -> float:
        """Return how many calls a second the sidecars got."""
        return self._net.calls[rpcs.ENTER.path] / 2 / self.seconds

    def oldest_s(self) -> float:
        """Return the age of the oldest last report among the sidecars."""
        return self._loop.run(self._oldest_s)

    def counted(self) -> list[Load]:
        """Return the loads that the sidecars count of all routers."""
        return self._loop.run(self._counted)

    async def _start(self) -> None:
        addresses = []
        for admission, server in zip(self.admissions, self._servers, strict=True):
            handlers = Handlers()
            serve_admission(handlers, admission, self._clock)
            address = server.address.replace(':8', ':7')
            self._net.serve(address, handlers)
            addresses.append(address)
        self._net.observers.append(self._observe)
        self.backends = Backends()
        peers = self._net.peers('10.0.0.1:1')
        directory = Sidecars(tuple(addresses))
        self.router = SidecarAdmission(self.backends, directory, peers, self._clock, ROUTER)
        self._task = asyncio.ensure_future(self.router.run())

    async def _observe(self, moment: object) -> None:
        receiver = getattr(moment, 'receiver', '')
        self.heard_unix_s[receiver] = self._clock.now_s()

    async def _carry(self, long_per_s: int, short_per_s: int, seconds: float) -> None:
        async with anyio.create_task_group() as group:
            for step in range(int(seconds / STEP_S)):
                due_long = int((step + 1) * STEP_S * long_per_s)
                due_short = int((step + 1) * STEP_S * short_per_s)
                for _ in range(due_long - int(step * STEP_S * long_per_s)):
                    group.start_soon(self._prompt, LONG_TOKENS)
                for _ in range(due_short - int(step * STEP_S * short_per_s)):
                    group.start_soon(self._prompt, SHORT_TOKENS)
                await anyio.sleep(STEP_S)

    async def _prompt(self, tokens: int) -> None:
        self._carried += 1
        backend = self.backends.of(self._servers[self._carried % len(self._servers)])
        routing_request = ForwardRoutingRequest(f'r-{self._carried}', 'engines', (), tokens, 100)
        backend.start_request(routing_request, self._clock.now_s())
        await anyio.sleep(ENDS_S / 2)
        backend.first_event(routing_request)
        self.router.load_changed(backend, soon=tokens >= LONG_TOKENS)
        await anyio.sleep(ENDS_S / 2)
        backend.end_request(routing_request)
        self.router.load_changed(backend, soon=False)

    async def _oldest_s(self) -> float:
        return self._clock.now_s() - min(self.heard_unix_s.values())

    async def _counted(self) -> list[Load]:
        return [admission.others('nobody', self._clock.now_s()) for admission in self.admissions]
