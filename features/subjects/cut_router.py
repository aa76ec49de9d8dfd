"""One router of a test fleet, with the parts that call the store and other instances."""

import asyncio
from typing import Any

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.ports import Handlers, Stored
from endivesaddle.fleet.routes.allocator import Allocator
from endivesaddle.fleet.routes.allocator_choice import AllocatorChoice
from endivesaddle.fleet.routes.call_times import TimedPeers
from endivesaddle.fleet.routes.declared import Declarations, RouteAccount, RouteServer
from endivesaddle.fleet.routes.failover_store import FailoverStore
from endivesaddle.fleet.routes.grant_group import AllocatorContext
from endivesaddle.fleet.routes.instance_directory import ROUTER, Instance, InstanceDirectory
from endivesaddle.fleet.routes.peer_routers import PeerRouterParts, PeerRouters
from endivesaddle.fleet.routes.prepaid_pools import PrepaidPools, PrepaidPoolsParts
from endivesaddle.fleet.routes.remote_store import answer_store
from endivesaddle.fleet.routes.routing_state import RoutingState, StoreStatus
from endivesaddle.fleet.routes.store_watch import Decoder, StoreWatcher
from endivesaddle.fleet.routes.stored_crashes import StoredCrashes
from endivesaddle.fleet.routes.stream_parts import StreamContext, StreamParts
from endivesaddle.fleet.routes.supply import SupplySettings
from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.settled_retries import settle

ROUTERS = 3
"""Routers that share the slack of retries."""


class NoDocuments:
    """A decoder that is never used: these routers declare nothing in the store."""

    declared_key = 'none/declared'
    declared_prefix = 'none/declared'
    servers_prefix = 'none/servers/'

    def declared(self, stored: Stored) -> Declarations | None:
        """Raise an error."""
        raise ValueError(stored.key)

    def evacuated(self, key: str) -> str:
        """Return that no data centre is evacuated."""
        return ''

    def server(self, stored: Stored, now_unix_s: float) -> RouteServer:
        """Raise an error."""
        raise ValueError(stored.key)

    def lifetime(self, key: str) -> str:
        """Return the key."""
        return key


class CutStore:
    """The store behind a link that can drop everything."""

    def __init__(self, store: MemoryStore, clock: LoopClock) -> None:
        """Initialize with a working link."""
        self.cut = False
        self._store = store
        self._clock = clock

    def __getattr__(self, name: str) -> Any:
        """Return any method of the store; its calls fail while the link is cut."""
        call = getattr(self._store, name)

        async def made(*arguments: Any) -> Any:
            if self.cut:
                # Every call but one to a lease's end has its deadline behind its own arguments.
                deadline_unix_s = arguments[3] if name in {'swap', 'poll'} else arguments[1]
                await anyio.sleep(max(0, deadline_unix_s - self._clock.now_s()))
                raise StoreUnreachable('cut off')
            return await call(*arguments)

        return made


class CutRouter:
    """One incarnation of a router, reached at ``address``."""

    def __init__(
        self,
        name: str,
        address: str,
        net: MemoryNet,
        store: Any,
        decoder: Decoder | None = None,
        supply: SupplySettings = SupplySettings(),
    ) -> None:
        """Create its parts; ``start`` runs them."""
        decoder = decoder or NoDocuments()
        clock = LoopClock()
        self.address = address
        self.cut = CutStore(store, clock)
        self.store = FailoverStore(self.cut, net.peers(address), clock)
        self.store_status = StoreStatus(clock)
        self.routing_state = RoutingState()
        own = Instance(ROUTER, name, address, 'porto-a')
        self.directory = InstanceDirectory(self.store, clock, own)
        self.allocator = Allocator(
            AllocatorContext(name, address, self.store, clock, net.peers(address))
        )
        choice = AllocatorChoice(self.directory, address, clock)
        peers = TimedPeers(net.peers(address), clock)
        self.peers = peers
        self.pools = PrepaidPools(
            PrepaidPoolsParts(
                name, address, self.routing_state, choice, self.allocator, peers, clock, supply
            )
        )
        self.dispatcher = Dispatcher(ForwardSettings(), self.routing_state, clock, name)
        settle(self.dispatcher, ROUTERS)
        self._peer_routers = PeerRouters(
            PeerRouterParts(
                self.routing_state,
                self.store_status,
                self.dispatcher,
                self.directory,
                decoder,
                (),
            ),
            peers,
            clock,
            name,
            address,
        )
        self._store_watcher = StoreWatcher(
            self.store, decoder, self.routing_state, clock, self.store_status
        )
        self._crashes = StoredCrashes(self.store, self.dispatcher.crashes, clock)
        self.streams = StreamParts(
            StreamContext(
                self.routing_state, self.store_status, self.directory, self.store, peers, clock
            ),
            name,
            address,
        )
        self._net = net
        self._clock = clock
        self._tasks: list[asyncio.Future[None]] = []

    def start(self, account: RouteAccount) -> None:
        """Serve, and run all parts; they use a new list of instances within a second."""
        self.routing_state.declare(Declarations(1, (), (), (account,)), b'', 'test')
        self.store_status.answered()
        handlers = Handlers()
        self._peer_routers.register(handlers)
        self.allocator.register(handlers)
        self.pools.register(handlers)
        self.streams.register(handlers)
        answer_store(handlers, self.cut, self._clock)
        self._net.serve(self.address, handlers)
        parts = (self.store, self.directory, self.allocator, self.pools, self._peer_routers)
        tasks = (*parts, self._store_watcher, self._crashes, self.streams)
        self._tasks = [asyncio.ensure_future(part.run()) for part in tasks]
        self._tasks.append(asyncio.ensure_future(self._tend()))

    def kill(self) -> None:
        """End the router with its state."""
        self._net.kill(self.address)
        for task in self._tasks:
            task.cancel()

    async def give_back(self) -> None:
        """Give back unused tokens, as at a graceful stop."""
        await self.pools.release()
        await self.allocator.release()

    async def _tend(self) -> None:
        while True:
            await anyio.sleep(0.5)
            self.store.relays = self.directory.relays
            self.store.hubs = self.directory.hubs
