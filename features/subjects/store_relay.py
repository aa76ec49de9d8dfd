"""Subject: routers that are cut off from the store, and sidecars that are not."""

import asyncio
from collections.abc import Sequence
from typing import Any

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.errors import FleetError, StoreUnreachable
from endivesaddle.fleet.ports import Handlers, Stored
from endivesaddle.fleet.routes.declared import Declared, RouteAccount, RouteServer
from endivesaddle.fleet.routes.keeping import Keeping
from endivesaddle.fleet.routes.known import Contact, Known
from endivesaddle.fleet.routes.neighbours import NeighbourParts, Neighbours
from endivesaddle.fleet.routes.remote_store import RemoteStore, answer_store
from endivesaddle.fleet.routes.roster import ROUTER, SIDECAR, Entry, Instance, Roster
from endivesaddle.fleet.routes.ways import ReachedStore
from endivesaddle.fleet.routing.dispatcher import Dispatcher, Place
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.fleet.routing.lanes import ForwardWant, Lane
from endivesaddle.fleet.sentinels import Refusal
from endivesaddle.stand_ins.memory_peers import Fault, MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from endivesaddle.wire import rpcs
from subjects.links_loop import ScenarioLoop

ACCOUNT = RouteAccount('ateliers', (), None, 0)
SERVER = RouteServer('life-1', 'engines', '10.0.2.1:1', 'porto-a', 64)
SHARED_PART = 'shared'


class NoDocuments:
    """A decoder that is never asked: these routers declare nothing in the store."""

    declared_prefix = ''
    servers_prefix = ''

    def declared(self, stored: Stored) -> Declared | None:
        """Refuse."""
        raise ValueError(stored.key)

    def server(self, stored: Stored) -> RouteServer:
        """Refuse."""
        raise ValueError(stored.key)

    def lifetime(self, key: str) -> str:
        """Return the key."""
        return key


class CutStore:
    """The store behind a link that may swallow everything."""

    def __init__(self, store: MemoryStore, clock: LoopClock) -> None:
        """Start with a sound link."""
        self.cut = False
        self._store = store
        self._clock = clock

    def __getattr__(self, name: str) -> Any:
        """Make any call of the store, unless the link is cut."""
        call = getattr(self._store, name)

        async def made(*arguments: Any) -> Any:
            if self.cut:
                # Every call but one to a lease's end has its deadline behind its own arguments.
                deadline_unix_s = arguments[3] if name in {'swap', 'poll'} else arguments[1]
                await anyio.sleep(max(0, deadline_unix_s - self._clock.now_s()))
                raise StoreUnreachable('cut off')
            return await call(*arguments)

        return made


class CutFleet:
    """Routers and sidecars over one store; each call runs on one loop in virtual time."""

    def __init__(self, routers: int, sidecars: int, total: int) -> None:
        """Start them, and let them find each other."""
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self._total = total
        self.store = MemoryStore(self._clock)
        self.net = MemoryNet(self._clock)
        self.spent = 0
        self.reads: list[Any] = []
        self.contacts: list[Contact] = []
        self._dispatchers: list[Dispatcher] = []
        self._cuts: list[CutStore] = []
        self.ways: list[ReachedStore] = []
        self.rosters: list[Roster] = []
        self._keepings: list[Keeping] = []
        self._tasks: list[asyncio.Future[None]] = []
        self._loop.run(self._start, routers, sidecars)

    def close(self) -> None:
        """End the loop."""
        self._loop.close()

    def cut(self, cut: bool) -> None:
        """Cut all routers off from the store, or heal that."""
        for store in self._cuts:
            store.cut = cut

    def silence(self, sidecar: int) -> None:
        """Have a sidecar's messages vanish."""
        routers = {_router(number) for number in range(len(self.ways))}
        self.net.part(routers, {_sidecar(sidecar)})

    def lose_replies(self) -> None:
        """Have what the sidecars answer vanish."""
        for router, roster in enumerate(self.rosters):
            for address in roster.sidecars:
                self.net.faults[_router(router), address] = Fault.LOST_REPLY

    def sleep(self, seconds: float) -> None:
        """Let time pass."""
        self._loop.run(anyio.sleep, seconds)

    def spend(self, router: int, tokens: int) -> bool:
        """Carry one request; True when it was admitted."""
        return self._loop.run(self._spend, router, tokens)

    def read(self) -> None:
        """Have each router read a key; keep what it is told."""
        self._loop.run(self._read)

    def send(self, router: int, tokens: int) -> None:
        """Have a router send a prompt, half of it shared, to the one backend server."""
        parts = ((SHARED_PART, tokens // 2), ('own', tokens - tokens // 2))
        want = ForwardWant('r-1', 'engines', parts, tokens, 100)
        self._loop.run(self._begin, router, want)

    def isolate(self, router: int) -> None:
        """Cut one router off from the others."""
        others = {_router(number) for number in range(len(self.ways))} - {_router(router)}
        self.net.part({_router(router)}, others)

    def lanes(self) -> list[Lane]:
        """Return each router's lane of the one backend server."""
        return [dispatcher.lanes.of(SERVER) for dispatcher in self._dispatchers]

    def holds(self, lane: Lane) -> bool:
        """Tell whether a lane is believed to hold the shared part."""
        return self._loop.run(self._holds, lane)

    def relayed(self) -> int:
        """Return how many calls the sidecars were asked to make."""
        return self.net.calls.get(rpcs.STORE.path, 0)

    def call(self, way: str, name: str, *arguments: Any) -> Any:
        """Make one call directly or through the first sidecar; return what it gave."""
        return self._loop.run(self._call, way, name, arguments)

    async def _begin(self, router: int, want: ForwardWant) -> None:
        Place(self._dispatchers[router], self.lanes()[router], want).begin()

    async def _holds(self, lane: Lane) -> bool:
        return lane.holds(SHARED_PART, self._clock.now_s())

    async def _start(self, routers: int, sidecars: int) -> None:
        for number in range(sidecars):
            handlers = Handlers()
            answer_store(handlers, self.store, self._clock)
            self.net.serve(_sidecar(number), handlers)
            own = Instance(SIDECAR, f's{number}', _sidecar(number), 'porto-a')
            await Entry(self.store, self._clock, own).keep()
        for number in range(routers):
            self._start_router(number)
        await anyio.sleep(2)
        for way, roster in zip(self.ways, self.rosters, strict=True):
            way.relays = roster.relays

    def _start_router(self, number: int) -> None:
        cut = CutStore(self.store, self._clock)
        way = ReachedStore(cut, self.net.peers(_router(number)), self._clock)
        name = f'router-{number}'
        known = Known()
        known.declare(Declared(1, (), (), (self._account(),)), b'', 'test')
        contact = Contact(self._clock)
        contact.heard()
        roster = Roster(way, self._clock, Instance(ROUTER, name, _router(number), 'porto-a'))
        keeping = Keeping(way, known, self._clock, name, lambda: roster.others, contact)
        dispatcher = Dispatcher(ForwardSettings(), known, self._clock, name)
        parts = NeighbourParts(known, contact, dispatcher, keeping, roster, NoDocuments(), ())
        peers = self.net.peers(_router(number))
        neighbours = Neighbours(parts, peers, self._clock, name, _router(number))
        keeping.borrow = neighbours.borrow
        handlers = Handlers()
        neighbours.register(handlers)
        answer_store(handlers, cut, self._clock)
        self.net.serve(_router(number), handlers)
        self.contacts.append(contact)
        self._dispatchers.append(dispatcher)
        self._cuts.append(cut)
        self.ways.append(way)
        self.rosters.append(roster)
        self._keepings.append(keeping)
        for part in (way.run, roster.run, keeping.run, neighbours.run):
            self._tasks.append(asyncio.ensure_future(part()))

    async def _spend(self, router: int, tokens: int) -> bool:
        reservation = await self._keepings[router].reserve(self._account(), tokens)
        if isinstance(reservation, Refusal):
            return False
        reservation.settle(tokens)
        self.spent += tokens
        return True

    async def _read(self) -> None:
        for way in self.ways:
            try:
                self.reads.append(await way.read('a/key', self._clock.now_s() + 0.05))
            except FleetError as error:
                self.reads.append(error)

    async def _call(self, way: str, name: str, arguments: Sequence[Any]) -> Any:
        store: Any = self.store
        if way == 'sidecar':
            store = RemoteStore(_sidecar(0), self.net.peers(_router(0)), self._clock)
        if way == 'router':
            store = self.ways[0]
        try:
            return await getattr(store, name)(*arguments, self._clock.now_s() + 1)
        except FleetError as error:
            return error

    def _account(self) -> RouteAccount:
        return ACCOUNT._replace(total_tokens=self._total)


def _router(number: int) -> str:
    return f'10.0.0.{number}:1'


def _sidecar(number: int) -> str:
    return f'10.0.1.{number}:1'
