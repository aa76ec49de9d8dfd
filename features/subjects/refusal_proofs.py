"""Subject: a router on real sockets, between callers and servers that contradict themselves."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from types import MappingProxyType
from typing import Any, NamedTuple

import anyio
import httpx

from endivesaddle.backend_servers.connection_pool import ConnectionPool
from endivesaddle.backend_servers.forward_client import ForwardClient
from endivesaddle.callers.forward_app import ForwardApp, ForwardParts, Stopping
from endivesaddle.callers.forward_metrics import ForwardMetrics
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.daemon.forward_http import serve_http
from endivesaddle.fleet.clock import MonotonicClock
from endivesaddle.fleet.routes.declared import (
    Declarations,
    Repeat,
    Route,
    RouteServer,
    Service,
    Target,
)
from endivesaddle.fleet.routes.header_names import HeaderNames
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routes.running import Runner
from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from subjects.refusal_behaviours import PROMISES, behaviours
from subjects.scripted_servers import (
    EVENTS,
    MAX_SHOWN_BYTES,
    SUCCESSES,
    Exchange,
    Ledger,
    ScriptedServer,
    events,
    sound,
)
from subjects.settled_retries import settle
from subjects.waiting_fleet import NoBudgets

TIMEOUT_MS = 2000
GUARD_S = 60.0
KEPT_S = 1.0
SLOTS = 32
KINDS = MappingProxyType(
    {
        'unsafe': (Repeat.UNSAFE, False),
        'safe': (Repeat.SAFE, False),
        'streamed': (Repeat.STREAMED, False),
        'resumable': (Repeat.STREAMED, True),
    }
)
MOST_ATTEMPTS = 3
BODILESS = 'HEAD'
REPEATABLE = frozenset(('safe', 'resumable'))


class Sent(NamedTuple):
    """A request of a caller: its kind of route with the attempts allowed, and its deadline.

    ``leaves_s`` is when the caller leaves, 0 if it waits; ``pause_s`` how long it waits before.
    """

    request_id: str
    kind: str
    attempts: int = 1
    deadline_ms: int = TIMEOUT_MS
    body_bytes: int = 10
    leaves_s: float = 0.0
    pause_s: float = 0.0
    method: str = 'POST'


class Told(NamedTuple):
    """What a caller got: status 0 for none, and ``complete`` if the body came to its end."""

    sent: Sent
    status: int = 0
    body: bytes = b''
    complete: bool = False

    @property
    def says_not_run(self) -> bool:
        """Whether it is a refusal of the router that says that the request did not run."""
        return b'"not_run":true' in self.body


class Router:
    """A router with its own listener, connections and decisions."""

    def __init__(self, routers: int) -> None:
        """Share the retries with ``routers``, this one among them."""
        clock = MonotonicClock()
        self.pool = ConnectionPool()
        self._state = RoutingState()
        routes = tuple(
            _route(kind, attempts) for kind in KINDS for attempts in range(1, MOST_ATTEMPTS + 1)
        )
        self._state.declare(Declarations(1, routes, (Service('a', 200),), ()), b'', 'test')
        client = ForwardClient(self.pool, HeaderNames(), clock)
        dispatcher = settle(Dispatcher(ForwardSettings(), self._state, clock, 'one'), routers)
        pools: Any = NoBudgets()
        self._parts = ForwardParts(
            CallersSettings(),
            HeaderNames(),
            self._state,
            Runner(dispatcher, pools, client, clock),
            clock,
            ForwardMetrics(dict),
            Stopping(lambda: True),
        )

    def declare_server(
        self, server: ScriptedServer, lifetime: str = '', leaving: bool = False
    ) -> None:
        """Name a server to the router, as a ``lifetime`` of its own unless that is ''."""
        name = lifetime or server.name
        declared = RouteServer(name, 'a', server.address, 'one', SLOTS, leaving)
        self._state.update_server(declared, 'test')

    def remove_server(self, lifetime: str) -> None:
        """Take a server away."""
        self._state.remove_server(lifetime, 'test')
        self.pool.drop(lifetime)

    def refuse(self, stopping: bool) -> None:
        """Refuse new requests, as a router does that stops, or accept them again."""
        self._parts.stopping.refusing = stopping

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[str]:
        """Serve, and yield the URL."""
        closed = anyio.Event()
        async with anyio.create_task_group() as group:
            address = await group.start(
                serve_http,
                ForwardApp(self._parts),
                '127.0.0.1:0',
                self._parts.settings,
                self._state,
                closed,
            )
            yield f'http://{address}'
            closed.set()

    def disconnect(self) -> None:
        """Close the connections to all servers."""
        for lifetime in self.pool.lifetimes():
            self.pool.drop(lifetime)


class ProofPlay:
    """Requests to a router before scripted servers, and the promises that were broken.

    ``change``, if any, is run beside the callers until they are done.
    """

    def __init__(self, servers: Sequence[ScriptedServer], ledger: Ledger, routers: int = 2) -> None:
        """Initialize with servers that don't listen yet."""
        self.servers = servers
        self.ledger = ledger
        self.told: list[Told] = []
        self.change: Callable[[Router], Awaitable[None]] | None = None
        self._routers = routers

    def play(self, callers: Sequence[Sequence[Sent]]) -> None:
        """Send the requests, in turn for each of ``callers``; return when all has settled."""
        anyio.run(self._play, callers)

    def broken(self) -> list[str]:
        """Return a description of each broken promise."""
        return [text for told in self.told for text in broken_promises(told, self.ledger)]

    def count(self, promise: str) -> int:
        """Return how often a promise was broken."""
        return sum(text.startswith(promise) for text in self.broken())

    def truthful_refusals(self) -> int:
        """Return how many requests were refused at least once by a server that did not run them."""
        refused = self.ledger.refused
        return sum(told.sent.request_id in refused for told in self.told)

    async def _play(self, callers: Sequence[Sequence[Sent]]) -> None:
        with anyio.fail_after(GUARD_S):
            router = Router(self._routers)
            for each in self.servers:
                await each.start()
                router.declare_server(each)
            async with router.serving() as url:
                await self._call_during_changes(router, url, callers)
            router.disconnect()
            await asyncio.gather(*(server.settle() for server in self.servers))

    async def _call_during_changes(
        self, router: Router, url: str, callers: Sequence[Sequence[Sent]]
    ) -> None:
        async with anyio.create_task_group() as group:
            if self.change is not None:
                group.start_soon(self.change, router)
            await self._call_all(url, callers)
            group.cancel_scope.cancel()

    async def _call_all(self, url: str, callers: Sequence[Sequence[Sent]]) -> None:
        limits = httpx.Limits(max_connections=None, keepalive_expiry=KEPT_S)
        async with httpx.AsyncClient(base_url=url, limits=limits, timeout=None) as client:
            async with anyio.create_task_group() as group:
                for sent in callers:
                    group.start_soon(self._call, client, sent)

    async def _call(self, client: httpx.AsyncClient, requests: Sequence[Sent]) -> None:
        for sent in requests:
            told = Told(sent)
            await anyio.sleep(sent.pause_s)
            with anyio.move_on_after(sent.leaves_s or GUARD_S):
                told = await _told(client, sent)
            self.told.append(told)


def broken_promises(told: Told, ledger: Ledger) -> list[str]:
    """Return a description of each promise that the answer to one request breaks."""
    sent = told.sent
    begun = ledger.begun[sent.request_id]
    found = []
    if sent.kind not in REPEATABLE:
        if told.status in PROMISES and begun:
            found.append('refused that ran')
        if begun > 1:
            found.append('ran twice')
    elif told.says_not_run and begun:
        found.append('told as not run')
    whole = told.status in SUCCESSES and told.complete and sent.method != BODILESS
    if whole and not _whole(told, ledger):
        found.append('not its whole answer')
    shown = told.body[:MAX_SHOWN_BYTES]
    trace = '; '.join(ledger.notes[sent.request_id])
    return [
        f'{text}: {sent} begun {begun} times, told {told.status} {shown!r}; {trace}'
        for text in found
    ]


def behaving(behaviour: str, odd: int, all_servers: int, routers: int = 2) -> ProofPlay:
    """Return a play in which ``odd`` servers behave as named, among sound ones."""
    ledger = Ledger()
    servers = [ScriptedServer(f'life-{number}', ledger) for number in range(all_servers)]
    for server in servers[:odd]:
        server.script = behaviours.find(behaviour)
        server.others = servers
    return ProofPlay(servers, ledger, routers)


def requests(kind: str, count: int, callers: int, pause_s: float = 0) -> list[list[Sent]]:
    """Return requests of one kind with one attempt each, dealt out to callers that pause."""
    sent = [Sent(f'{kind}-{number}', kind, pause_s=pause_s) for number in range(count)]
    return [sent[start::callers] for start in range(callers)]


def first_alone(script_name: str, servers: int, routers: int) -> ProofPlay:
    """Return a play in which the server that gets the first request behaves as named."""
    play = behaving(script_name, 0, servers, routers)
    script = behaviours.find(script_name)

    async def first(exchange: Exchange) -> None:
        alone = play.ledger.received.total() == 1
        await (script if alone else sound)(exchange)

    for server in play.servers:
        server.script = first
        server.others = play.servers
    return play


def _whole(told: Told, ledger: Ledger) -> bool:
    if told.sent.kind in {'streamed', 'resumable'}:
        return told.body == events(told.sent.request_id, 0, EVENTS)
    return told.body in ledger.sent[told.sent.request_id]


def _route(kind: str, attempts: int) -> Route:
    repeat, resumable = KINDS[kind]
    return Route(
        f'{kind}-{attempts}',
        'boards',
        f'/{kind}/{attempts}/',
        repeat,
        TIMEOUT_MS,
        500,
        1,
        (Target('a', 1),),
        attempts,
        public=True,
        resumable=resumable,
    )


async def _told(client: httpx.AsyncClient, sent: Sent) -> Told:
    headers = {
        'host': 'boards',
        'endivesaddle-request-id': sent.request_id,
        'endivesaddle-deadline-ms': str(sent.deadline_ms),
    }
    status = 0
    chunks: list[bytes] = []
    url = f'/{sent.kind}/{sent.attempts}/x'
    content = b'x' * sent.body_bytes
    try:
        async with client.stream(sent.method, url, headers=headers, content=content) as answer:
            status = answer.status_code
            async for chunk in answer.aiter_raw():
                chunks.append(chunk)
    except httpx.TransportError:
        return Told(sent, status, b''.join(chunks))
    return Told(sent, status, b''.join(chunks), complete=True)
