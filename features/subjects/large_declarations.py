"""Subject: routers on slow links that lost the store, and declarations of thousands of routes."""

import asyncio
from random import Random
from typing import Any

import anyio
import msgspec

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes.declared import RouteAccount
from endivesaddle.fleet.routes.instance_directory import SIDECAR, Instance, InstanceEntry
from endivesaddle.fleet.routes.remote_store import answer_store
from endivesaddle.fleet.routes.shared_polls import SharedPolls
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.cut_router import CutRouter
from subjects.links_loop import ScenarioLoop
from subjects.users_platform import CONFIG, ROUTE, module

SLOW_LINK_BYTES_PER_S = 625_000
"""A link of 5 Mbit/s."""
START_S = 3.0
CHECK_S = 0.02
VERSION = 50
KEY = 'op/config'
ACCOUNT = RouteAccount('ateliers', (), None, None)


class LargeDeclarations:
    """Routers and sidecars over one store; each call runs on one loop in virtual time."""

    def __init__(self, routers: int, sidecars: int) -> None:
        """Start them, and let them discover each other."""
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self._store = MemoryStore(self._clock)
        self._net = MemoryNet(self._clock)
        self.routers: list[CutRouter] = []
        self._polling: list[asyncio.Future[None]] = []
        self.document = b''
        self._loop.run(self._start, routers, sidecars)

    def close(self) -> None:
        """End the loop."""
        self._loop.close()

    def cut(self, routers: int) -> None:
        """Cut the last ``routers`` routers off from the store."""
        for router in self.routers[-routers:]:
            router.cut.cut = True
        self._loop.run(anyio.sleep, 2.0)

    def declare(self, routes: int) -> None:
        """Write a configuration of many routes."""
        listed = [
            {**ROUTE, 'name': f'r-{number}', 'prefix': _prefix(number)} for number in range(routes)
        ]
        self.document = msgspec.json.encode({**CONFIG, 'version': VERSION, 'routes': listed})
        self._net.arrived_bytes.clear()
        self._store.put(KEY, self.document)

    def behind(self, seconds: float) -> list[str]:
        """Return the routers that do not have it in force within ``seconds``."""
        return self._loop.run(self._behind, seconds)

    def most_arrived_bytes(self) -> int:
        """Return the most bytes that the link of any router carried towards it."""
        return max(self._net.arrived_bytes[router.address] for router in self.routers)

    async def _start(self, routers: int, sidecars: int) -> None:
        self._store.put(KEY, msgspec.json.encode(dict(CONFIG)))
        for number in range(sidecars):
            await self._start_sidecar(f's{number}', f'10.0.1.{number}:1')
        for number in range(routers):
            await self._start_router(f'router-{number}', f'10.0.0.{number}:1')
        await anyio.sleep(START_S)

    async def _start_sidecar(self, name: str, address: str) -> None:
        handlers = Handlers()
        polls = SharedPolls(self._store, self._clock)
        self._polling.append(asyncio.ensure_future(polls.run()))
        answer_store(handlers, polls, self._clock)
        self._net.serve(address, handlers)
        own = Instance(SIDECAR, name, address, 'porto-a')
        await InstanceEntry(self._store, self._clock, own, lease_s=90).renew()

    async def _start_router(self, name: str, address: str) -> None:
        decoder: Any = module('documents').PlatformDecoder()
        self._net.thin[address] = SLOW_LINK_BYTES_PER_S
        router = CutRouter(name, address, self._net, self._store, decoder)
        router.start(ACCOUNT)
        self.routers.append(router)

    async def _behind(self, seconds: float) -> list[str]:
        until_unix_s = self._clock.now_s() + seconds
        while self._late() and self._clock.now_s() < until_unix_s:
            await anyio.sleep(CHECK_S)
        return self._late()

    def _late(self) -> list[str]:
        return [one.address for one in self.routers if _version(one) != VERSION]


def _version(router: CutRouter) -> int:
    return router.routing_state.declarations.version if router.routing_state.declarations else 0


def _prefix(number: int) -> str:
    """Return a path that can't be compressed below 200 bytes, so that all together take 0.7 s."""
    return f'/{Random(number).randbytes(200).hex()}/'
