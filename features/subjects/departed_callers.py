"""Subject: a forwarding router on real sockets, and callers that leave.

A gate holds a request at one place until the scenario opens it.
"""

import socket
import struct
import time
from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import Any, NamedTuple

import anyio

from endivesaddle.backend_servers.connection_pool import ConnectionPool
from endivesaddle.backend_servers.forward_client import ForwardClient
from endivesaddle.backend_servers.server_connection import ServerConnection, connect
from endivesaddle.callers.forward_app import ForwardApp, ForwardParts, Stopping
from endivesaddle.callers.forward_metrics import ForwardMetrics
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.daemon.forward_http import serve_http
from endivesaddle.fleet.clock import MonotonicClock
from endivesaddle.fleet.routes.allocator import Allocator
from endivesaddle.fleet.routes.allocator_choice import AllocatorChoice
from endivesaddle.fleet.routes.call_times import TimedPeers
from endivesaddle.fleet.routes.declared import (
    Declarations,
    Repeat,
    Route,
    RouteAccount,
    RouteServer,
    Service,
    Target,
)
from endivesaddle.fleet.routes.departures import Departures
from endivesaddle.fleet.routes.grant_group import AllocatorContext
from endivesaddle.fleet.routes.header_names import HeaderNames
from endivesaddle.fleet.routes.prepaid_pools import PrepaidPools, PrepaidPoolsParts
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routes.running import Runner
from endivesaddle.fleet.routes.supply import SupplySettings
from endivesaddle.fleet.routing.backends import Backend, ForwardRoutingRequest
from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.routing.engine_selection import NoAdmissionControl
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.fleet.routing.server_slots import Hold, Need
from endivesaddle.fleet.routing.waiting_settings import WaitingSettings
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from endivesaddle.wire.routers_pb2 import DrawAnswer, DrawReply, DrawRequest
from subjects.forward_runs import Alone
from subjects.settled_retries import settle
from subjects.watched_server import Arrival, WatchedServer

GUARD_S = 20
SETTLE_S = 0.3
NOTICE_S = 0.25
POLL_S = 0.005
GROW_S = 0.05
UNREAD_LIMIT_S = 1.0
ACCOUNT = 'ateliers'
SERVICE = 'engines'
TOTAL = 1_000_000
BODY = b'a body of a request'
LARGE_BODY = b'x' * (1 << 19)
RESET_AT_ONCE = struct.pack('ii', 1, 0)
KINDS = MappingProxyType(
    {
        'safe': (Repeat.SAFE, False),
        'unsafe': (Repeat.UNSAFE, False),
        'streamed': (Repeat.STREAMED, False),
        'resumable': (Repeat.STREAMED, True),
    }
)


class Gate:
    """Holds what passes it, while it is closed."""

    def __init__(self) -> None:
        """Initialize open."""
        self.reached = anyio.Event()
        self._closed = False
        self._opened = anyio.Event()

    def close(self) -> None:
        """Let nothing pass until the gate is opened."""
        self._closed = True

    async def pass_through(self) -> None:
        """Wait until the gate is open."""
        if self._closed:
            self.reached.set()
            await self._opened.wait()

    def open(self) -> None:
        """Let everything pass from now on."""
        self._closed = False
        self._opened.set()


class GatedAllocator:
    """An allocator whose answers to draws for waiting requests pass a gate.

    While it is ``growing``, it has no tokens and answers that the router should ask again.
    """

    def __init__(self, allocator: Allocator, gate: Gate) -> None:
        """Draw from ``allocator``."""
        self.draw_count = 0
        self.growing = False
        self._allocator = allocator
        self._gate = gate

    async def draw(self, request: DrawRequest) -> DrawReply:
        """Draw, after the gate."""
        if any(report.needed for report in request.words):
            self.draw_count += 1
            await self._gate.pass_through()
            if self.growing:
                await anyio.sleep(GROW_S)
                states = [
                    DrawAnswer(account=report.account, state=DrawAnswer.GROWING)
                    for report in request.words
                ]
                return DrawReply(lifetime='one', answers=states)
        return await self._allocator.draw(request)


class GatedAdmission(NoAdmissionControl):
    """Sidecars whose answers pass a gate."""

    def __init__(self, gate: Gate) -> None:
        """Admit after ``gate``."""
        self._gate = gate

    async def admit(self, backend: Backend, tokens: int, most_tokens: int) -> bool:
        """Admit any prompt, after the gate."""
        await self._gate.pass_through()
        return True


class RawCaller:
    """One connection of a caller, without an event loop."""

    def __init__(self, address: str) -> None:
        """Connect; the kernel accepts, whatever the router does."""
        host, _, port = address.rpartition(':')
        self._socket = socket.create_connection((host, int(port)))
        self._socket.setblocking(False)
        self.received = b''

    def send(self, data: bytes) -> None:
        """Send bytes, all of which fit into the socket."""
        self._socket.sendall(data)

    def receive(self) -> bytes:
        """Return all bytes received so far."""
        try:
            self.received += self._socket.recv(1 << 16)
        except BlockingIOError:
            return self.received
        return self.received

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def reset(self) -> None:
        """Reset the connection."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_ONCE)
        self._socket.close()


class Setting(NamedTuple):
    """The router of one scenario: route, servers' script, and policies.

    A ``connected`` router has an idle connection to each server: nothing waits before a send.
    """

    kind: str = 'safe'
    script: tuple[str, ...] = ('hold',)
    supply: str = 'on_demand'
    waiting: str = 'off'
    reading: bool = True
    connected: bool = True


class DepartedCallers:
    """A router with two servers at one address; ``play`` runs the moves of a scenario."""

    def __init__(self, setting: Setting) -> None:
        """Initialize without callers."""
        self.server = WatchedServer(list(setting.script), reading=setting.reading)
        self.budget = Gate()
        self.admission = Gate()
        self.connecting = Gate()
        self.left_s = 0.0
        self.noticed_draw_count = 0
        self.answered_s = 0.0
        self.answer = b''
        self.repeated: RawCaller | None = None
        self.second = b''
        self.departures = Departures(MonotonicClock())
        self._setting = setting
        self._address = ''
        self._count = 0
        self._routing_state = RoutingState()
        self._holds: list[Hold] = []
        self._callers: list[RawCaller] = []

    def play(self, moves: Callable[['DepartedCallers'], Awaitable[None]]) -> None:
        """Serve during the moves of a scenario, and for a short time after them."""
        self.server.start()
        try:
            anyio.run(self._play, moves)
        finally:
            self.server.stop()

    def caller(self) -> RawCaller:
        """Connect a caller."""
        caller = RawCaller(self._address)
        # A socket that nothing refers to is closed.
        self._callers.append(caller)
        return caller

    def request(self, body: bytes = BODY, prefix: str = '') -> bytes:
        """Return the bytes of another request."""
        self._count += 1
        head = (
            f'POST /{prefix or self._setting.kind}/x HTTP/1.1',
            'host: boards',
            'authorization: Bearer key',
            f'endivesaddle-request-id: r{self._count}',
            'endivesaddle-tokens: 2000,100',
            f'endivesaddle-prompt-parts: p{self._count}:2000',
            f'content-length: {len(body)}',
        )
        return b'%s\r\n\r\n%s' % ('\r\n'.join(head).encode(), body)

    async def until(self, condition: Callable[[], Any], within_s: float = GUARD_S) -> bool:
        """Wait until a condition holds; return whether it does within the time."""
        end_s = time.monotonic() + within_s
        while not condition() and time.monotonic() < end_s:
            await anyio.sleep(POLL_S)
        return bool(condition())

    async def noticed(self) -> bool:
        """Wait until the router has noticed that a caller left, but not for long."""
        return await self.until(lambda: self.departures.counters()['callers_gone'], NOTICE_S)

    def fill(self) -> None:
        """Take the only slot of each server."""
        for backend in self._backends():
            need = Need(ForwardRoutingRequest('other', SERVICE, (), 0, 0, 0), 0)
            slots = self._dispatcher.waiting.slots
            self._holds.append(slots.hold(backend, need, self._dispatcher.now_s()))

    def free(self) -> None:
        """Free the slots, as a response that ends does."""
        for taken in self._holds:
            self._dispatcher.waiting.ended(taken, success=False)

    def waiting(self) -> float:
        """Return the number of requests that wait for a slot."""
        return self._dispatcher.waiting.counters()['waiting']

    def arrived(self) -> list[Arrival]:
        """Return the requests that reached the servers."""
        return self.server.arrivals

    def tokens(self, name: str) -> float:
        """Return the tokens of the account that are ``reserved`` or ``spent``."""
        return self._pools.dump().get(ACCOUNT, {}).get(f'{name}_tokens', 0)

    async def _play(self, moves: Callable[['DepartedCallers'], Awaitable[None]]) -> None:
        clock = MonotonicClock()
        routes = tuple(map(_route, KINDS))
        declared = Declarations(
            1,
            routes,
            (Service(SERVICE, 100, 5),),
            (RouteAccount(ACCOUNT, ('key',), None, TOTAL),),
        )
        self._routing_state.declare(declared, b'', 'test')
        for number in range(2):
            address = f'127.0.0.{number + 1}:{self.server.port}'
            server = RouteServer(f'life-{number}', SERVICE, address, 'a', 1)
            self._routing_state.update_server(server, 'test')
        self._dispatcher = Dispatcher(
            ForwardSettings(),
            self._routing_state,
            clock,
            'one',
            WaitingSettings(self._setting.waiting),
        )
        settle(self._dispatcher)
        self._dispatcher.admission = GatedAdmission(self.admission)
        store = MemoryStore(clock)
        allocator = Allocator(AllocatorContext('one', 'one', store, clock))
        self.allocator = GatedAllocator(allocator, self.budget)
        gated: Any = self.allocator
        self._pools = PrepaidPools(
            PrepaidPoolsParts(
                'one',
                'one',
                self._routing_state,
                AllocatorChoice(Alone(), 'one', clock),
                gated,
                TimedPeers(MemoryNet(clock).peers('one'), clock),
                clock,
                SupplySettings(self._setting.supply),
            )
        )
        self._links = ForwardClient(ConnectionPool(self._connect), HeaderNames(), clock)
        closed = anyio.Event()
        with anyio.fail_after(GUARD_S):
            async with anyio.create_task_group() as group:
                group.start_soon(allocator.run)
                group.start_soon(self._pools.run)
                group.start_soon(self._dispatcher.waiting.run)
                self._address = await group.start(
                    serve_http,
                    self._app(clock),
                    '127.0.0.1:0',
                    CallersSettings(send_within_s=UNREAD_LIMIT_S),
                    self._routing_state,
                    closed,
                )
                await self._warm_up()
                await moves(self)
                await anyio.sleep(SETTLE_S)
                self.second = self.repeated.receive() if self.repeated else b''
                group.cancel_scope.cancel()

    async def _warm_up(self) -> None:
        if self._setting.connected:
            for server in self._routing_state.servers.values():
                await self._links.check(server)

    def _app(self, clock: MonotonicClock) -> ForwardApp:
        names = HeaderNames()
        runner = Runner(self._dispatcher, self._pools, self._links, clock, self.departures)
        settings = CallersSettings(send_within_s=UNREAD_LIMIT_S)
        stopping = Stopping(lambda: True)
        metrics = ForwardMetrics(dict)
        return ForwardApp(
            ForwardParts(settings, names, self._routing_state, runner, clock, metrics, stopping)
        )

    async def _connect(self, address: str) -> ServerConnection:
        await self.connecting.pass_through()
        return await connect(address)

    def _backends(self) -> list[Backend]:
        servers = self._routing_state.servers.values()
        return [self._dispatcher.backends.of(server) for server in servers]


def _route(kind: str) -> Route:
    repeat, resumable = KINDS[kind]
    return Route(
        kind,
        'boards',
        f'/{kind}/',
        repeat,
        8000,
        500,
        1,
        (Target(SERVICE, 1),),
        max_attempts=3,
        resumable=resumable,
    )
