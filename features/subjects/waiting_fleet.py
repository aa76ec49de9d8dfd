"""Subject: routers before full servers, in virtual time.

A model server runs as many requests as it has slots, each for ``RUN_S``, lets ``queue`` more wait,
and declines the others.
"""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random
from typing import Any, NamedTuple

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.routes.declared import (
    Declarations,
    Repeat,
    Route,
    RouteAccount,
    RouteServer,
    Service,
    Target,
)
from endivesaddle.fleet.routes.forwarded import ForwardRequest, ServerCall
from endivesaddle.fleet.routes.reservation import Reservation
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routes.running import Runner
from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.fleet.routing.waiting_settings import WaitingSettings
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal
from subjects.forward_runs import RecordingSink, record_sent
from subjects.links_loop import ScenarioLoop
from subjects.server_behaviours import ScriptedAnswer
from subjects.settled_retries import settle

RUN_S = 0.1
DEADLINE_S = 0.6
REPORT_S = 0.25
PLAY_S = 2.5
ACCOUNTS = 4
STOPPING = Refusal('stopping', 'this router stops', NOT_RUN, 503, 0.05)


class ModelServer:
    """One server; ``ran`` has the ids of requests in the order in which they began."""

    def __init__(self, slots: int, queue: int) -> None:
        """Initialize idle."""
        self.ran: list[str] = []
        self.signals: dict[str, str] = {}
        self.accepted = 0
        self.most_accepted = 0
        self._places = slots + queue
        self._slots = asyncio.Semaphore(slots)

    @asynccontextmanager
    async def exchange(self, call: ServerCall) -> AsyncIterator[ScriptedAnswer]:
        """Run a request or decline it."""
        record_sent(call)
        answer = ScriptedAnswer(call)
        answer.signals = self.signals
        if self.accepted >= self._places:
            answer.declined = True
            answer.sealed = False
            answer.status = 503
            yield answer
            return
        self.accepted += 1
        self.most_accepted = max(self.most_accepted, self.accepted)
        try:
            async with self._slots:
                self.ran.append(call.request.request_id)
                await anyio.sleep(RUN_S)
            yield answer
        finally:
            self.accepted -= 1


class NoBudgets:
    """Accounts without a total."""

    async def reserve(self, *_: Any) -> Reservation:
        """Reserve nothing."""
        return Reservation(None, 0)


class Caller(NamedTuple):
    """A caller's request and what it got."""

    request: ForwardRequest
    sink: RecordingSink
    task: 'asyncio.Task[None]'


class WaitingFleet:
    """Routers that share the servers of one service."""

    def __init__(self, policy: str, routers: int, servers: int, slots: int, queue: int) -> None:
        """Initialize with idle servers."""
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self.servers = {f'life-{number}': ModelServer(slots, queue) for number in range(servers)}
        self.callers: list[Caller] = []
        self.reports = True
        self._tasks: list[asyncio.Future[None]] = []
        self.route = Route('r', 'host', '/', Repeat.SAFE, 4000, 500, 1, (Target('plain', 1),), 2)
        self._loop.run(self._start, policy, routers, slots)

    def close(self) -> None:
        """End the loop."""
        self._loop.close()

    def limit_memory(self, tokens: int) -> None:
        """Declare the memory of a server; a request takes 110 tokens."""
        services = (Service('plain', 100, memory_tokens=tokens),)
        for router in self.routers:
            declared = Declarations(2, (self.route,), services, ())
            router.routing_state.declare(declared, b'', 'test')

    def send(
        self, count: int, rank: int = 1, account: str = 'a', end_s: float = 5.0, home: str = ''
    ) -> None:
        """Begin requests at the first router, 1 ms apart."""

        async def begin() -> None:
            for _ in range(count):
                homes = frozenset((home,)) if home else frozenset()
                self._begin(0, RouteAccount(account, (), rank, None, homes), end_s)
                await anyio.sleep(0.001)

        self._loop.run(begin)

    def sleep(self, seconds: float) -> None:
        """Let time pass."""
        self._loop.run(anyio.sleep, seconds)

    def disconnect(self, number: int) -> None:
        """Let a caller disconnect."""
        self._act(self.callers[number].task.cancel)

    def change_server(self, name: str, leaving: bool) -> None:
        """Let a server leave or come back."""

        def change() -> None:
            for router in self.routers:
                server = router.routing_state.servers[name]
                router.routing_state.update_server(server._replace(leaving=leaving), 'test')

        self._act(change)

    def limit(self, name: str, per_s: float) -> None:
        """Let a server advertise a limit."""

        def advertise() -> None:
            for router in self.routers:
                incarnation = router.routing_state.servers[name].incarnation
                limits = router.routing_state.limits
                limits.advertised(incarnation, per_s, self._clock.now_s())
            self.servers[name].signals = {'limit': str(per_s)}

        self._act(advertise)

    def disconnect_at_grant(self, number: int) -> None:
        """Let a caller disconnect when a slot becomes free, before its task resumes."""
        waiting: Any = self.routers[0].waiting
        ended = waiting.ended

        def ended_and_gone(*arguments: Any) -> None:
            ended(*arguments)
            self.callers[number].task.cancel()

        waiting.ended = ended_and_gone
        self.sleep(2 * RUN_S)
        waiting.ended = ended

    def stop(self) -> None:
        """Let the first router stop."""
        self._act(lambda: self.routers[0].waiting.stop(lambda: STOPPING))

    def play(self, per_s: float, seed: int, urgent: float = 0.0, retry: bool = True) -> None:
        """Send random requests of equal accounts; refused callers come back as they are told."""
        self._loop.run(self._play, per_s, Random(seed), urgent, retry)

    def answered(self, rank: int | None = None) -> int:
        """Return how many requests, of a rank, were answered in time."""
        found = (one for one in self.callers if rank in {None, one.request.urgency})
        return sum(one.sink.status == 200 for one in found)

    def sent(self, rank: int) -> int:
        """Return how many requests of a rank were sent."""
        return sum(one.request.urgency == rank for one in self.callers)

    def most_accepted(self) -> int:
        """Return the most requests that a server had at once."""
        return max(server.most_accepted for server in self.servers.values())

    def by_account(self) -> list[int]:
        """Return the requests of each account that were answered in time."""
        in_time = [one.request.account for one in self.callers if one.sink.status == 200]
        counts = Counter(account.name for account in in_time if account)
        return [counts[f'account-{number}'] for number in range(ACCOUNTS)]

    def refusal(self, number: int) -> Refusal | None:
        """Return the refusal that a caller got."""
        return self.callers[number].sink.refusal

    def ran(self) -> list[str]:
        """Return the numbers of the requests that ran, in their order."""
        return [one for server in self.servers.values() for one in server.ran]

    def exchange(self, call: ServerCall) -> Any:
        """Send a request to a model server."""
        return self.servers[call.server.lifetime].exchange(call)

    def _act(self, act: Callable[[], Any]) -> None:
        """Do something on the loop, and let the tasks that it wakes run."""

        async def acted() -> None:
            act()
            await anyio.sleep(0.001)

        self._loop.run(acted)

    async def _start(self, policy: str, routers: int, slots: int) -> None:
        declared = Declarations(1, (self.route,), (Service('plain', 100),), ())
        self.routers: list[Dispatcher] = []
        self._runners: list[Runner] = []
        for number in range(routers):
            state = RoutingState()
            state.declare(declared, b'', 'test')
            for name in self.servers:
                # Each server is in a data centre and a region of its own name.
                state.update_server(RouteServer(name, 'plain', f'{name}:1', name, slots), 'test')
            settings = ForwardSettings(regions=tuple(f'{one}={one}' for one in self.servers))
            router = Dispatcher(
                settings, state, self._clock, f'router-{number}', WaitingSettings(policy)
            )
            settle(router, routers)
            router.send_limits.set_routers(f'router-{number}', (), routers_known=True)
            pools: Any = NoBudgets()
            links: Any = self
            self.routers.append(router)
            self._runners.append(Runner(router, pools, links, self._clock))
            self._tasks.append(asyncio.ensure_future(router.waiting.run()))
        self._tasks.append(asyncio.ensure_future(self._report()))

    async def _report(self) -> None:
        while True:
            for router in self.routers:
                others = [one for one in self.routers if one is not router and self.reports]
                loads = {
                    name: (sum(one.backends.find(name).own_in_flight for one in others), 0)
                    for name in self.servers
                    if all(one.backends.find(name) for one in others)
                }
                router.backends.apply_reports(loads, self._clock.now_s())
                unheard = 0 if self.reports else len(self.routers) - 1
                router.waiting.reports_applied(len(self.routers), unheard)
            await anyio.sleep(REPORT_S)

    async def _play(self, per_s: float, random: Random, urgent: float, retry: bool) -> None:
        end_unix_s = self._clock.now_s() + PLAY_S
        while self._clock.now_s() < end_unix_s:
            await anyio.sleep(random.expovariate(per_s))
            rank = 0 if random.random() < urgent else 5
            account = f'account-{random.randrange(ACCOUNTS)}'
            router = random.randrange(len(self.routers))
            self._begin(router, RouteAccount(account, (), rank), DEADLINE_S, retry)
        await anyio.sleep(2 * DEADLINE_S)

    def _begin(self, router: int, account: RouteAccount, end_s: float, retry: bool = False) -> None:
        now_unix_s = self._clock.now_s()
        end_unix_s = now_unix_s + end_s
        number = str(len(self.callers))
        request = ForwardRequest(
            number, self.route, account, 'POST', '/', (), b'', end_unix_s, end_unix_s, 100, 10, (),
            -1, now_unix_s,
        )  # fmt: skip
        sink = RecordingSink()
        task = asyncio.ensure_future(self._serve(router, request, sink, retry))
        self.callers.append(Caller(request, sink, task))

    async def _serve(
        self, router: int, request: ForwardRequest, sink: RecordingSink, retry: bool
    ) -> None:
        await self._runners[router].serve(request, sink)
        while retry and sink.refusal is not None and sink.refusal.not_run == NOT_RUN:
            await anyio.sleep(sink.refusal.retry_after_s)
            if self._clock.now_s() >= request.end_unix_s:
                return
            sink.status = 0
            sink.refusal = None
            await self._runners[router].serve(request, sink)
