"""Subject: one router's forwarded requests, with servers whose behaviour is scripted."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from types import MappingProxyType
from typing import Any

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.interfaces import ServerLeft
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
from endivesaddle.fleet.routes.forwarded import ForwardRequest, Pairs, ServerCall
from endivesaddle.fleet.routes.grant_group import AllocatorContext
from endivesaddle.fleet.routes.prepaid_pools import PrepaidPools, PrepaidPoolsParts
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routes.running import Runner
from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.routing.engine_selection import NoAdmissionControl
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.fleet.sentinels import Refusal
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.links_loop import ScenarioLoop
from subjects.server_behaviours import BEHAVIOURS, NOT_RUN_THERE, ScriptedAnswer
from subjects.settled_retries import settle

ACCOUNT = 'ateliers'
TOTAL = 1_000_000
PROMPT_TOKENS = 1000
MAX_TOKENS = 100
EVENT_TOKENS = 5
KINDS = MappingProxyType(
    {
        'safe': (Repeat.SAFE, False),
        'unsafe': (Repeat.UNSAFE, False),
        'streamed': (Repeat.STREAMED, False),
        'resumable': (Repeat.STREAMED, True),
    }
)
PROMISES = frozenset((408, 421, 429, 503))
"""Statuses by which a caller is told that its request did not run."""


def record_sent(call: ServerCall) -> None:
    """Ask for leave to send, as each client does right before it sends."""
    if not call.may_send():
        raise ServerLeft('the server accepts no more requests')


class ScriptedLinks:
    """Scripted servers, in the order in which they get requests."""

    def __init__(self, script: list[str]) -> None:
        """Initialize with the names of behaviours; the last one is repeated."""
        self.calls: list[ServerCall] = []
        self.ran = 0
        self._script = script

    @asynccontextmanager
    async def exchange(self, call: ServerCall) -> AsyncIterator[ScriptedAnswer]:
        """Behave as the script says for this attempt."""
        name = self._script[min(len(self.calls), len(self._script) - 1)]
        self.calls.append(call)
        await anyio.sleep(0.001)
        if name == 'unconnected':
            await anyio.sleep_forever()
        if name != 'unreached':
            record_sent(call)
        if name not in NOT_RUN_THERE:
            self.ran += 1
        if name == 'hangs':
            await anyio.sleep_forever()
        yield BEHAVIOURS[name](call)

    async def check(self, server: RouteServer) -> None:
        """Connect: all servers are running."""


class RecordingSink:
    """Records what the caller gets."""

    def __init__(self) -> None:
        """Initialize without an answer."""
        self.status = 0
        self.body = b''
        self.finished = False
        self.reads = True
        self.refusal: Refusal | None = None

    async def start(self, status: int, headers: Pairs) -> None:
        """Record the head of a stream."""
        assert not self.status, 'two heads'
        self.status = status

    async def write(self, data: bytes) -> None:
        """Record a part."""
        self.body += data

    async def finish(self) -> None:
        """Record the end."""
        self.finished = True

    async def reply(self, status: int, headers: Pairs, body: bytes) -> None:
        """Record a complete answer."""
        assert not self.status, 'two heads'
        self.status = status
        self.body = body
        if not self.reads:
            await anyio.sleep_forever()
        self.finished = True

    async def refuse(self, refusal: Refusal) -> None:
        """Record an error of the router."""
        assert not self.status, 'two heads'
        self.status = refusal.status
        self.refusal = refusal
        self.finished = True


class CountingAdmission(NoAdmissionControl):
    """Sidecars beside engines that count urgent reports."""

    def __init__(self) -> None:
        """Initialize with a count of 0."""
        self.soon_count = 0

    def load_changed(self, backend: Backend, soon: bool) -> None:
        """Count an urgent report."""
        self.soon_count += soon


MANY_ROUTERS = 1000


class Alone:
    """A router that knows no others."""

    sidecars = ()
    loaded = True
    others: MappingProxyType[str, str] = MappingProxyType({})


class ForwardRuns:
    """A router with three servers of one service."""

    def __init__(self, kind: str, attempts: int, script: list[str]) -> None:
        """Declare a route of ``kind``."""
        repeat, resumable = KINDS[kind]
        self.route = Route(
            'boards',
            'host',
            '/b/',
            repeat,
            4000,
            500,
            1,
            (Target('engines', 1),),
            attempts,
            resumable=resumable,
        )
        self.account = RouteAccount(ACCOUNT, ('key',), None, TOTAL)
        self.links = ScriptedLinks(script)
        self.sink = RecordingSink()
        self.took_s = 0.0
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self._routing_state = RoutingState()
        self._loop.run(self._declare)

    def close(self) -> None:
        """End the loop."""
        self._loop.close()

    def request(self) -> None:
        """Execute one request."""
        self._loop.run(self._request)

    def play(self, moves: Coroutine[Any, Any, None]) -> None:
        """Run a scenario's own coroutine on the loop."""

        async def played() -> None:
            await moves

        self._loop.run(played)

    async def carry(self) -> None:
        """Execute one request, within a scenario's own coroutine."""
        await self._request()

    def leave_server(self, lifetime: str) -> None:
        """Announce that a server leaves."""
        server = self._routing_state.servers[lifetime]
        self._routing_state.update_server(server._replace(leaving=True), 'test')

    def use_up(self) -> None:
        """Leave nothing to reserve from: the store is unavailable before the first grant."""
        self._store.fail(True)

    def declare_plain(self) -> None:
        """Declare the service without the tokens of an event."""
        services = (Service('engines', 100),)
        declared = Declarations(2, (self.route,), services, (self.account,))
        self._routing_state.declare(declared, b'', 'test')

    def leave(self) -> None:
        """Execute one request whose caller disconnects after 50 ms."""
        self._loop.run(self._leave)

    def use_up_retries(self) -> None:
        """Leave no retry: the slack is shared with too many routers."""
        settle(self._dispatcher, MANY_ROUTERS)

    def unhindered_servers(self) -> int:
        """Return how many servers take requests; 0 if one of them has a limit."""
        if len(self._routing_state.limits):
            return 0
        backends = map(
            self._dispatcher.backends.of, self._routing_state.available_servers('engines')
        )
        return sum(backend.accepts_requests(self._now_unix_s) for backend in backends)

    def remove_servers(self) -> None:
        """Remove the entries of all servers."""
        self._loop.run(self._remove_servers)

    def crashes(self) -> int:
        """Return the number of requests that are noted with a crash."""
        return len(self._dispatcher.crashes)

    def retries(self) -> float:
        """Return the retries that were paid for."""
        return self._dispatcher.retry_shares.dump(self._now_unix_s)['engines']['retries']

    def spent(self) -> float:
        """Return the tokens that the account spent."""
        return self.pools.dump()[ACCOUNT]['spent_tokens']

    def reserved(self) -> float:
        """Return the tokens that are still reserved."""
        return self.pools.dump()[ACCOUNT]['reserved_tokens']

    def numbers(self) -> list[int]:
        """Return the numbers of the events that the caller got."""
        lines = [line for line in self.sink.body.splitlines() if line.startswith(b'id:')]
        return [int(line[3:]) for line in lines]

    async def _declare(self) -> None:
        services = (Service('engines', 100, EVENT_TOKENS),)
        declared = Declarations(1, (self.route,), services, (self.account,))
        self._routing_state.declare(declared, b'', 'test')
        for number in range(3):
            name = f'life-{number}'
            self._routing_state.update_server(
                RouteServer(name, 'engines', f'{name}:1', 'a', 4), 'test'
            )
        self._store = MemoryStore(self._clock)
        allocator = Allocator(AllocatorContext('one', 'one', self._store, self._clock))
        self._keeping = asyncio.ensure_future(allocator.run())
        choice = AllocatorChoice(Alone(), 'one', self._clock)
        timed = TimedPeers(MemoryNet(self._clock).peers('one'), self._clock)
        self.pools = PrepaidPools(
            PrepaidPoolsParts(
                'one', 'one', self._routing_state, choice, allocator, timed, self._clock
            )
        )
        dispatcher = Dispatcher(ForwardSettings(), self._routing_state, self._clock, 'one')
        self._dispatcher = settle(dispatcher)
        self.admission = CountingAdmission()
        dispatcher.admission = self.admission
        self.runner = Runner(dispatcher, self.pools, self.links, self._clock)

    async def _request(self) -> None:
        began_unix_s = self._clock.now_s()
        await self.runner.serve(self._made(began_unix_s), self.sink)
        self._now_unix_s = self._clock.now_s()
        self.took_s = self._now_unix_s - began_unix_s

    async def _remove_servers(self) -> None:
        for lifetime in tuple(self._routing_state.servers):
            self._routing_state.remove_server(lifetime, 'test')

    async def _leave(self) -> None:
        with anyio.move_on_after(0.05):
            await self._request()

    def _made(self, began_unix_s: float) -> ForwardRequest:
        return ForwardRequest(
            request_id='one',
            route=self.route,
            account=self.account,
            method='POST',
            target='/b/x',
            headers=(('host', 'boards'),),
            body=b'',
            deadline_unix_s=began_unix_s + 10,
            end_unix_s=began_unix_s + self.route.timeout_ms / 1000,
            prompt_tokens=PROMPT_TOKENS,
            max_tokens=MAX_TOKENS,
            parts=(),
            last_event=-1,
            began_unix_s=began_unix_s,
        )
