"""A fleet of real claims, fronts and sidecar runs in one process, in virtual time."""

import dataclasses
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import anyio
import cappa

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import AnswerInterrupted, CallerRequest
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.requests import Claims, Recorder, RequestFront, RequestSettings
from endivesaddle.fleet.runs import Runs, RunSettings
from endivesaddle.fleet.sentinels import Refusal
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from endivesaddle.wire import holders_pb2
from subjects.requests_fakes import FakeBudgets, FakeRouting, FakeView, Ledger, ScriptedEngine

DATA_CENTRES = ('porto-a', 'porto-b')
BOUND_TOKENS = 20


def defaults(settings: type[Any], **changes: Any) -> Any:
    """Return settings with defaults for all fields that ``changes`` doesn't give."""
    values = {}
    for field in dataclasses.fields(settings):
        arg = field.default
        default = arg.default.sequence[-1] if isinstance(arg, cappa.Arg) else arg
        values[field.name] = default.callable() if hasattr(default, 'callable') else default
    return settings(**{**values, **changes})


class Received(NamedTuple):
    """What one caller received: the body and the refusal, if any."""

    body: bytes
    refusal: Refusal | None = None
    whole: bool = True


class Router:
    """One router: its claims, request front and recorder, and their tasks."""

    def __init__(self, fleet: 'Fleet', name: str, data_centre: str) -> None:
        """Create the parts of the router; ``run`` starts them."""
        self.identity = Identity(name, 'router', data_centre, 'region', name, 1)
        self.scope = anyio.CancelScope()
        self.dead = anyio.Event()
        budgets = FakeBudgets(fleet.ledger, self.identity)
        peers = fleet.net.peers(name)
        self.routing = FakeRouting(fleet.servers)
        ports = (fleet.settings, self.identity, budgets, peers, fleet.view, fleet.clock)
        self.recorder = Recorder(*ports, fleet.store)
        self.claims = Claims(*ports, ended=self.recorder.add)
        self.front = RequestFront(
            fleet.settings, self.identity, budgets, self.routing, peers, fleet.view, fleet.clock
        )
        self.handlers = Handlers()
        self.claims.register(self.handlers)
        fleet.net.serve(name, self.handlers)
        fleet.view.add(self.identity)

    async def run(self) -> None:
        """Run the tasks until the router is killed."""
        with self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.claims.run)
                group.start_soon(self.front.run)
                group.start_soon(self.recorder.run)


class Sidecar:
    """One sidecar with a scripted engine."""

    def __init__(self, fleet: 'Fleet', server: str, data_centre: str, incarnation: int) -> None:
        """Create the parts of the sidecar."""
        address = f'sidecar-{server}'
        self.identity = Identity(
            address, 'sidecar', data_centre, 'region', address, incarnation, server
        )
        self.scope = anyio.CancelScope()
        self.engine = ScriptedEngine(server, fleet.seen)
        self.runs = Runs(
            defaults(RunSettings, settle_failed_s=5.0),
            self.identity,
            self.engine,
            fleet.net.peers(address),
            fleet.view,
            fleet.clock,
        )
        self.handlers = Handlers()
        self.runs.register(self.handlers)
        fleet.net.serve(address, self.handlers)
        fleet.view.add(self.identity)

    async def run(self) -> None:
        """Run until the sidecar is killed."""
        with self.scope:
            await self.runs.run()


class Fleet:
    """Two data centres, each with two routers and a backend server."""

    def __init__(self, group: anyio.abc.TaskGroup, **settings: Any) -> None:
        """Start all instances."""
        self.group = group
        self.clock = LoopClock()
        self.net = MemoryNet(self.clock)
        self.store = MemoryStore(self.clock)
        self.settings = defaults(RequestSettings, **settings)
        self.view = FakeView(DATA_CENTRES)
        self.ledger = Ledger()
        self.seen: Counter[str] = Counter()
        self.servers: dict[str, str] = {}
        self.routers: dict[str, Router] = {}
        self.sidecars: dict[str, Sidecar] = {}
        self.received: dict[str, Received] = {}
        self.notes: dict[str, int] = {}
        self.found = holders_pb2.FindReply()
        for data_centre in DATA_CENTRES:
            letter = data_centre[-1]
            self.servers[letter.upper()] = f'sidecar-{letter.upper()}'
            for number in (1, 2):
                name = f'router-{letter}{number}'
                self.routers[name] = Router(self, name, data_centre)
                group.start_soon(self.routers[name].run)
            self.add_sidecar(letter.upper(), data_centre)
            self.ledger.holders[data_centre] = f'router-{letter}1'

    def add_sidecar(self, server: str, data_centre: str, incarnation: int = 1) -> Sidecar:
        """Start a sidecar, or restart it at the same address."""
        sidecar = Sidecar(self, server, data_centre, incarnation)
        self.sidecars[server] = sidecar
        self.group.start_soon(sidecar.run)
        return sidecar

    def kill_router(self, name: str) -> None:
        """Kill a router with all its tasks."""
        self.net.kill(name)
        self.routers[name].scope.cancel()
        self.routers[name].dead.set()
        self.view.listed.pop(name, None)

    def kill_sidecar(self, server: str) -> None:
        """Kill a sidecar and its runs."""
        sidecar = self.sidecars[server]
        self.net.kill(sidecar.identity.address)
        sidecar.scope.cancel()

    def take_over(self, data_centre: str, successor: str, recovered: bool) -> None:
        """Kill the holder of a data centre and have another router take over."""
        self.kill_router(self.ledger.holders[data_centre])
        self.ledger.holders[data_centre] = successor
        self.ledger.epochs[data_centre] += 1
        if not recovered:
            self.ledger.unrecovered.add(successor)

    def request(self, **fields: Any) -> CallerRequest:
        """Return a request with defaults for all fields that aren't given."""
        given = {
            'account': 'azulejo', 'request_id': 'board-1', 'named': True, 'first_attempt': True,
            'kind': 'engine', 'model': 'boards', 'service': '', 'method': 'POST',
            'path': '/v1/chat/completions', 'headers': (), 'body': b'{}', 'stream': True,
            'bound_tokens': BOUND_TOKENS, 'max_tokens': TOKENS_ASKED, 'may_repeat': True,
            'priority': 1, 'deadline_unix_s': self.clock.now_s() + 60,
        }  # fmt: skip
        return CallerRequest(**{**given, **fields})

    async def call(self, caller: str, router: str, **fields: Any) -> None:
        """Have a caller send a request and read its answer to the end."""
        self.received[caller] = Received(b'', whole=False)
        with anyio.CancelScope() as scope:
            self._die_together(router, scope)
            result = await self.routers[router].front.serve(self.request(**fields))
            if isinstance(result, Refusal):
                self.received[caller] = Received(b'', result)
                return
            await self._read(caller, result.chunks)

    async def call_and_leave(self, caller: str, router: str, after_s: float, **fields: Any) -> None:
        """Have a caller send a request and disconnect after a time."""
        with anyio.move_on_after(after_s):
            await self.call(caller, router, **fields)

    def begin(self, caller: str, router: str, **fields: Any) -> None:
        """Have a caller send a request, without waiting for the answer."""

        async def call() -> None:
            await self.call(caller, router, **fields)

        self.group.start_soon(call)

    async def _read(self, caller: str, chunks: AsyncIterator[bytes]) -> None:
        body = b''
        try:
            async for piece in chunks:
                body += piece
                self.received[caller] = Received(body, whole=False)
        except AnswerInterrupted as broken:
            self.received[caller] = Received(body, broken.refusal)
            return
        self.received[caller] = Received(body)

    def _die_together(self, router: str, scope: anyio.CancelScope) -> None:
        """Close the connection of a caller when its router dies."""

        async def watch() -> None:
            await self.routers[router].dead.wait()
            scope.cancel()

        self.group.start_soon(watch)


TOKENS_ASKED = 10
Play = Callable[[Fleet], Awaitable[None]]


@asynccontextmanager
async def fleet(**settings: Any) -> AsyncIterator[Fleet]:
    """Run a fleet for the duration of the block."""
    async with anyio.create_task_group() as group:
        running = Fleet(group, **settings)
        await anyio.sleep(0.1)
        yield running
        group.cancel_scope.cancel()
