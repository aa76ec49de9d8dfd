"""A whole fleet in one process and in virtual time: the real routers and sidecars.

Only the outside is a stand-in: the store, the links, the engines and the
callers.  Faults are switched on by name of an instance.
"""

import dataclasses
from collections.abc import AsyncIterator, Collection, Mapping, Sequence, Set
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from endivesaddle.daemon.node import Node, Ports
from endivesaddle.daemon.router import Router, RouterSettings
from endivesaddle.daemon.settings import InstanceSettings, ServerSettings
from endivesaddle.daemon.sidecar import Sidecar, SidecarSettings
from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.configuration import SHARD_COUNT
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import BackendServerClient
from endivesaddle.fleet.membership import MembershipSettings
from endivesaddle.fleet.ports import Handlers, Stored
from endivesaddle.fleet.requests import RequestSettings
from endivesaddle.operators.settings import OperatorSettings
from endivesaddle.stand_ins.engine_memory import MemoryEngine
from endivesaddle.stand_ins.engine_state import EngineState
from endivesaddle.stand_ins.memory_caller import Caller, Connections
from endivesaddle.stand_ins.memory_peers import FROZEN_LOOK_S, MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from endivesaddle.stand_ins.service import MemoryService, ServiceState

BOOTSTRAP = 'bootstrap'
"""The operators' token before any is declared."""


class Place(NamedTuple):
    """Where an instance stands."""

    name: str
    data_centre: str
    server: str = ''


@dataclasses.dataclass
class Running:
    """An instance under way; ``engine`` is the state of the engine beside a sidecar."""

    place: Place
    address: str
    node: Node
    scope: anyio.CancelScope
    callers: Connections
    engine: EngineState | None = None
    service: ServiceState | None = None


class PausableStore:
    """The store as one instance reaches it: not at all while it is paused or dead.

    ``cut_off`` has the addresses from which the store is out of reach.
    """

    def __init__(
        self, store: MemoryStore, net: MemoryNet, address: str, cut_off: Set[str] = frozenset()
    ) -> None:
        """Reach ``store`` from ``address``."""
        self._store = store
        self._net = net
        self._address = address
        self._cut_off = cut_off

    async def read(self, key: str, deadline_unix_s: float) -> Any:
        """Return the value of one key."""
        await self._pass()
        return await self._store.read(key, deadline_unix_s)

    async def list(self, prefix: str, deadline_unix_s: float) -> Sequence[Stored]:
        """Return the values under a prefix."""
        await self._pass()
        return await self._store.list(prefix, deadline_unix_s)

    async def swap(
        self,
        key: str,
        value: bytes,
        expected_version: int,
        deadline_unix_s: float,
        lease_id: int = 0,
    ) -> Any:
        """Write if the key still has its version."""
        await self._pass()
        return await self._store.swap(key, value, expected_version, deadline_unix_s, lease_id)

    async def grant(self, ttl_s: int, deadline_unix_s: float) -> int:
        """Return a new lease."""
        await self._pass()
        return await self._store.grant(ttl_s, deadline_unix_s)

    async def keep_alive(self, lease_id: int, deadline_unix_s: float) -> bool:
        """Extend a lease."""
        await self._pass()
        return await self._store.keep_alive(lease_id, deadline_unix_s)

    async def watch(self, prefix: str, after_version: int) -> AsyncIterator[Stored]:
        """Yield what is written under a prefix."""
        async for stored in self._store.watch(prefix, after_version):
            await self._pass()
            yield stored

    async def _pass(self) -> None:
        while self._address in self._net.paused or self._address in self._net.dead:
            await anyio.sleep(FROZEN_LOOK_S)
        if self._address in self._cut_off:
            raise StoreUnreachable('the store is out of reach from here')


class MemoryFleet:
    """Routers and sidecars by name; ``open_fleet`` starts one."""

    def __init__(self, group: TaskGroup) -> None:
        """Start with no instance."""
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock)
        self.net = MemoryNet(self.clock)
        self.running: dict[str, Running] = {}
        self.requests = RequestSettings()
        self.shards: Collection[int] = range(SHARD_COUNT)
        self.cut_off: set[str] = set()
        self.listed: dict[str, str] = {}
        """The platform's list of instances: live or leaving by name."""
        self._group = group
        self._places: dict[str, Place] = {}
        self._starts = 0
        self.net.group = group

    def add_routers(self, *places: Place) -> None:
        """Start routers; all know the first of them as seeds."""
        for place in places:
            self._places[place.name] = place
        for place in places:
            self._start_router(place)

    def add_sidecar(self, place: Place) -> EngineState:
        """Start a sidecar beside a new engine; return the engine's state."""
        self._places[place.name] = place
        engine = EngineState()
        self._start_sidecar(place, engine)
        return engine

    def add_service(self, place: Place) -> ServiceState:
        """Start a sidecar beside a new plain service; return the service's state."""
        self._places[place.name] = place
        service = ServiceState()
        self._start_sidecar(place, service)
        return service

    def router(self, name: str) -> Router:
        """Return a router by name."""
        node = self.running[name].node
        assert isinstance(node, Router)
        return node

    def sidecar(self, name: str) -> Sidecar:
        """Return a sidecar by name."""
        node = self.running[name].node
        assert isinstance(node, Sidecar)
        return node

    def caller(self, router: str, key: str = '') -> Caller:
        """Return a caller with a key at one router."""
        running = self.running[router]
        return Caller(running.node.app, key, running.callers)

    def addresses(self, data_centre: str) -> set[str]:
        """Return the addresses of the instances of one data centre."""
        return {
            running.address
            for running in self.running.values()
            if running.place.data_centre == data_centre
        }

    def kill(self, name: str) -> None:
        """End an instance at once: nothing comes out of it any more."""
        running = self.running[name]
        self.net.kill(running.address)
        running.scope.cancel()
        running.callers.break_off()

    def restart(self, name: str) -> None:
        """Start a killed instance again, under a new incarnation and the same address."""
        running = self.running[name]
        beside = running.engine or running.service
        if beside is None:
            self._start_router(running.place)
        else:
            self._start_sidecar(running.place, beside)

    def pause(self, name: str) -> None:
        """Freeze an instance: nothing reaches it and nothing leaves it."""
        self.net.paused.add(self.running[name].address)

    def wake(self, name: str) -> None:
        """Let a frozen instance go on where it was."""
        self.net.paused.discard(self.running[name].address)

    async def command(self, router: str, line: str, token: str = BOOTSTRAP) -> Any:
        """Run a line of the operators' language at a router; return its JSON object."""
        caller = self.caller(router, token)
        reply = await caller.post('/operators/v1/command', {'line': line})
        return reply.json()

    def _start_router(self, place: Place) -> None:
        address = self._address(place)
        seeds = tuple(self._address(other) for other in self._places.values() if not other.server)
        settings = RouterSettings(
            place=InstanceSettings(place.name, place.data_centre),
            operators=OperatorSettings(bootstrap_token=BOOTSTRAP),
            requests=self.requests,
            membership=MembershipSettings(seeds=seeds),
        )
        identity = self._identity(place, 'router', address)
        handlers = Handlers()
        node = Router(settings, identity, self._ports(address), handlers)
        node.budgets.assignment.shards = self.shards
        self._serve(place, address, node, handlers)

    def _start_sidecar(self, place: Place, beside: EngineState | ServiceState) -> None:
        address = self._address(place)
        routers = [other for other in self._places.values() if not other.server]
        seeds = tuple(self._address(other) for other in routers)
        client: BackendServerClient = (
            MemoryEngine(beside) if isinstance(beside, EngineState) else MemoryService(beside)
        )
        kind = 'engine' if isinstance(beside, EngineState) else 'service'
        settings = SidecarSettings(
            place=InstanceSettings(place.name, place.data_centre),
            server=ServerSettings(place.server, 'http://127.0.0.1:1', kind),
            membership=MembershipSettings(seeds=seeds),
        )
        identity = self._identity(place, 'sidecar', address)
        handlers = Handlers()
        node = Sidecar(settings, identity, self._ports(address), handlers, client)
        self._serve(place, address, node, handlers, beside)

    def _serve(
        self,
        place: Place,
        address: str,
        node: Node,
        handlers: Handlers,
        beside: EngineState | ServiceState | None = None,
    ) -> None:
        scope = anyio.CancelScope()
        running = Running(place, address, node, scope, Connections())
        if isinstance(beside, EngineState):
            running.engine = beside
        else:
            running.service = beside
        self.running[place.name] = running
        self.net.serve(address, handlers)
        self._group.start_soon(_run_in, scope, node)

    def _address(self, place: Place) -> str:
        return f'10.0.0.{list(self._places).index(place.name) + 1}:7000'

    def _identity(self, place: Place, role: str, address: str) -> Identity:
        self._starts += 1
        return Identity(
            place.name, role, place.data_centre, 'one', address, self._starts, place.server
        )

    def _ports(self, address: str) -> Ports:
        store = PausableStore(self.store, self.net, address, self.cut_off)
        return Ports(store, self.net.peers(address), self.clock, self._read_list)

    async def _read_list(self) -> Mapping[str, str]:
        return dict(self.listed)


@asynccontextmanager
async def open_fleet() -> AsyncIterator[MemoryFleet]:
    """Yield a fleet without instances; end all of them at the end."""
    async with anyio.create_task_group() as group:
        yield MemoryFleet(group)
        group.cancel_scope.cancel()


async def _run_in(scope: anyio.CancelScope, node: Node) -> None:
    with scope:
        await node.run()
