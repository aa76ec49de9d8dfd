"""Subject: the admission of one router, with a fleet view defined by the scenario."""

import asyncio
from collections import Counter
from collections.abc import Coroutine, Iterable
from typing import Any, TypeVar

import anyio
import looptime

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.configuration import Account, BackendServer, Configuration
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import Choice, RoutingRequest
from endivesaddle.fleet.routing import Admission, RoutingSettings
from endivesaddle.fleet.sentinels import Refusal
from endivesaddle.wire import members_pb2, runs_pb2

MAX_TOKENS = 100
PREFIX = 7
Result = TypeVar('Result')


class FixedView:
    """Implements ``FleetView`` with the data of a scenario."""

    def __init__(self, engines: int, slots: int) -> None:
        """Initialize with live engines without load reports."""
        names = [f'engine-{number}' for number in range(engines)]
        servers = {
            name: BackendServer(name, 'porto-a', '', 'engine', ('boards',), slots=slots)
            for name in names
        }
        accounts = {name: Account(name) for name in ('ateliers', 'small')}
        self.configuration = Configuration(revision=1, servers=servers, accounts=accounts)
        self.left: set[str] = set()
        self.reports: dict[str, runs_pb2.Load] = {}
        self.sidecars = [
            members_pb2.Member(instance=f'beside {name}', server=name, address=name, state='live')
            for name in names
        ]

    def members(self, role: str, data_centre: str = '') -> list[members_pb2.Member]:
        """Return the sidecars."""
        return self.sidecars

    def leaving(self, instance: str) -> bool:
        """Return whether an instance has announced that it leaves."""
        return instance in self.left

    def loads(self) -> dict[str, runs_pb2.Load]:
        """Return the load reports."""
        return self.reports

    def add_engine(self, name: str) -> None:
        """Declare an engine like the first, with a live sidecar."""
        self.declare(self.configuration.servers['engine-0']._replace(name=name), name)
        self.sidecars.append(
            members_pb2.Member(instance=f'beside {name}', server=name, address=name, state='live')
        )

    def add_service(self, name: str, slots: int) -> None:
        """Declare a server of a plain service, with a live sidecar."""
        self.declare(BackendServer(name, 'porto-a', '', 'service', (), 'labels', slots=slots), name)
        self.sidecars.append(
            members_pb2.Member(instance=f'beside {name}', server=name, address=name, state='live')
        )

    def declare(self, server: BackendServer | None, name: str) -> None:
        """Change the declaration of a server, or remove it."""
        servers = {**self.configuration.servers, name: server}
        left = {key: declared for key, declared in servers.items() if declared}
        revision = self.configuration.revision + 1
        self.configuration = self.configuration._replace(servers=left, revision=revision)


class RoutingSubject:
    """Runs each call on one event loop in virtual time, which stops between the steps."""

    def __init__(self, engines: int, slots: int) -> None:
        """Start the admission of one router."""
        self.view = FixedView(engines, slots)
        self.clock = LoopClock()
        self.running: list[tuple[Choice, RoutingRequest]] = []
        self.outcomes: dict[str, Choice | Refusal] = {}
        self.took_s = 0.0
        self.last: Choice | Refusal | None = None
        self.admission = self.router('router-0')
        self._number = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._runner = asyncio.Runner(loop_factory=_new_loop)
        self.run(self._start(self.admission.run()))

    def close(self) -> None:
        """Stop everything."""
        self._runner.close()

    def run(self, play: Coroutine[Any, Any, Result]) -> Result:
        """Run a coroutine to its end."""
        return self._runner.run(play)

    def router(self, instance: str) -> Admission:
        """Return the admission of one router."""
        identity = Identity(instance, 'router', 'porto-a', 'one', '', 1)
        return Admission(RoutingSettings(), identity, self.view, self.clock)

    def routing_request(self, **changes: Any) -> RoutingRequest:
        """Return a request with its own prefix and a deadline in 60 seconds."""
        self._number += 1
        plain = RoutingRequest(
            request_key=f'{changes.get("account", "ateliers")}/{self._number}',
            account='ateliers',
            kind='engine',
            model='boards',
            service='',
            prompt_tokens=1000,
            max_tokens=MAX_TOKENS,
            priority=1,
            deadline_unix_s=self.clock.now_s() + changes.pop('within_s', 60),
            data_centre='porto-a',
            prefix_hashes=(self._number * MAX_TOKENS, self._number * MAX_TOKENS + 1),
        )
        return plain._replace(**changes)

    async def admit(
        self, routing_request: RoutingRequest, exclude: frozenset[str] = frozenset()
    ) -> Choice | Refusal:
        """Request admission, and record the outcome and the time that it took."""
        asked_unix_s = self.clock.now_s()
        self.last = await self.admission.admit(routing_request, exclude)
        self.took_s = self.clock.now_s() - asked_unix_s
        self.outcomes[routing_request.request_key] = self.last
        if isinstance(self.last, Choice):
            self.running.append((self.last, routing_request))
        return self.last

    async def ask(self, exclude: Iterable[str] = (), **changes: Any) -> Choice | Refusal:
        """Request admission for a new request."""
        return await self.admit(self.routing_request(**changes), frozenset(exclude))

    async def place(self, count: int, **changes: Any) -> None:
        """Place requests; each has to be placed without waiting."""
        for _ in range(count):
            choice = await self.admit(self.routing_request(**changes))
            assert isinstance(choice, Choice), choice
            assert not self.took_s, self.took_s

    async def wait_with(self, count: int, **changes: Any) -> None:
        """Let requests wait in the queue."""
        for _ in range(count):
            await self._start(self.admit(self.routing_request(**changes)))

    async def end(self, count: int, after_s: float = 0, **told: Any) -> None:
        """End the oldest runs, each after its first token."""
        for _ in range(count):
            choice, routing_request = self.running.pop(0)
            self.admission.first_token(choice, routing_request)
            await anyio.sleep(after_s)
            ended = {'ok': True, 'used_tokens': MAX_TOKENS, **told}
            self.admission.ended(choice, routing_request, **ended)
            await anyio.wait_all_tasks_blocked()

    async def report(self, server: str, age_s: float = 0, **fields: Any) -> None:
        """Add a load report to the view."""
        at_unix_s = self.clock.now_s() - age_s
        self.view.reports[server] = runs_pb2.Load(server=server, at_unix_s=at_unix_s, **fields)

    async def heard(self) -> None:
        """Let the admission refresh members and reports."""
        await anyio.sleep(2 * RoutingSettings().routing_refresh_s)

    def placed(self) -> Counter[str]:
        """Count the placed requests by server."""
        choices = [each for each in self.outcomes.values() if isinstance(each, Choice)]
        return Counter(choice.server for choice in choices)

    def under_way(self) -> int:
        """Return the number of requests in flight by the admission's count."""
        servers = self.admission.dump()['servers'].values()
        return sum(server['own'] for server in servers)

    async def learn(self, answer_s: float) -> None:
        """Let responses of typical length take this long until the estimate has adapted."""
        for _ in range(60):
            await self.place(1)
            await self.end(1, after_s=answer_s)

    async def fill(self) -> None:
        """Occupy all slots."""
        await self.place(6)

    async def cancel_when_placed(self) -> None:
        """End a run so that a waiting request is placed, and cancel it before it is notified."""
        waiter = await self._start(self.admit(self.routing_request()))
        choice, routing_request = self.running.pop(0)
        self.admission.ended(choice, routing_request, ok=True, used_tokens=MAX_TOKENS)
        waiter.cancel()
        await anyio.wait_all_tasks_blocked()

    async def see_failures(self, server: str, count: int) -> None:
        """Let runs on one server fail, one after the other."""
        others = frozenset(self.view.configuration.servers) - {server}
        for _ in range(count):
            choice = await self.admit(self.routing_request(prefix_hashes=(PREFIX,)), others)
            assert isinstance(choice, Choice), choice
            await self.end(1, ok=False, used_tokens=0)
        self.outcomes.clear()

    async def refuse_at_once(self) -> None:
        """End the oldest run before it starts."""
        choice, routing_request = self.running.pop(0)
        self.admission.ended(choice, routing_request, ok=True, used_tokens=0)
        self.outcomes.clear()

    async def never_ran(self, count: int) -> None:
        """Place requests whose attempts never start."""
        for _ in range(count):
            routing_request = self.routing_request()
            choice = await self.admission.admit(routing_request)
            assert isinstance(choice, Choice), choice
            self.admission.ended(choice, routing_request, ok=True, used_tokens=0)

    async def _start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task that continues after the step, and let it run until it waits."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        await anyio.wait_all_tasks_blocked()
        return task


def _new_loop() -> asyncio.AbstractEventLoop:
    return looptime.new_event_loop(start=0, _enabled=True)
