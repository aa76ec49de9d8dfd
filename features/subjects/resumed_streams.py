"""Subject: streams that break off and are taken up again, with servers of several versions."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from types import MappingProxyType

import anyio
import msgspec

from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.interfaces import ServerLost
from endivesaddle.fleet.routes.declared import Repeat, Route, RouteAccount, RouteServer, Target
from endivesaddle.fleet.routes.forwarded import ForwardRequest, ServerCall
from endivesaddle.fleet.routes.running import Runner
from endivesaddle.wire import rpcs
from subjects.cut_router import CutRouter
from subjects.forward_runs import RecordingSink, record_sent
from subjects.leaving_servers import SERVERS, SERVICE, Entries
from subjects.memory_sidecar import MemorySidecar
from subjects.router_fleet import RouterFleet
from subjects.server_behaviours import ScriptedAnswer

EVENTS = 40
EVENT_S = 0.1
BEGUN_S = 0.55
"""Streams have some events after this."""
START_S = 3.0
SETTLE_S = 1.0
DEADLINE_S = 15.0
ACCOUNT = RouteAccount('ateliers', (), None, None)
OTHER_SERVICE = 'others'
ROUTE = Route(
    'boards', 'host', '/b/', Repeat.STREAMED, 15000, 500, 1, (Target(SERVICE, 1),), 3, False, True
)
MESSAGE_BYTES = 90
"""Framing of one of the two messages of a call, see docs/CAPACITY.md."""


class VersionedAnswer(ScriptedAnswer):
    """A stream whose events name the version of the server that wrote them."""

    def __init__(self, call: ServerCall, crashed: asyncio.Event) -> None:
        """Answer ``call`` until the server has crashed."""
        super().__init__(call)
        self._version = call.server.version
        self._crashed = crashed

    async def events(self) -> AsyncIterator[bytes]:
        """Yield numbered events."""
        for number in range(self._from, EVENTS):
            await anyio.sleep(EVENT_S)
            if self._crashed.is_set():
                raise ServerLost('the server crashed')
            yield f'id: {number}\ndata: {self._version}\n\n'.encode()


class StreamServers:
    """Servers by lifetime, each of one version."""

    def __init__(self) -> None:
        """Initialize without servers."""
        self.running: dict[str, asyncio.Event] = {}

    @asynccontextmanager
    async def exchange(self, call: ServerCall) -> AsyncIterator[VersionedAnswer]:
        """Run a request."""
        await anyio.sleep(0.001)
        record_sent(call)
        if call.server.lifetime not in self.running:
            raise ServerLost('the server is gone')
        yield VersionedAnswer(call, self.running[call.server.lifetime])

    async def check(self, server: RouteServer) -> None:
        """Connect: crashed servers leave their addresses open."""


class StreamCaller:
    """A caller of one stream, over all its tries."""

    def __init__(self, ids: Iterable[int]) -> None:
        """Initialize without a try; ``ids`` are of requests."""
        self.versions: list[str] = []
        self.last_event = -1
        self.began_at = 0
        self.sink = RecordingSink()
        self._ids = iter(ids)
        self._resumes = ''
        self._deadline_unix_s = 0.0
        self._serving: asyncio.Future[None] | None = None

    @property
    def complete(self) -> bool:
        """Whether it has each event once."""
        return self.sink.finished and len(self.versions) == EVENTS

    def start(self, runner: Runner, now_unix_s: float, route: Route = ROUTE) -> None:
        """Send a request, which takes the stream up if some of it has come."""
        self.sink = RecordingSink()
        self._deadline_unix_s = self._deadline_unix_s or now_unix_s + DEADLINE_S
        request_id = f'attempt-{next(self._ids)}'
        request = ForwardRequest(
            request_id=request_id,
            route=route,
            account=ACCOUNT,
            method='POST',
            target='/b/x',
            headers=(('host', 'host'),),
            body=b'',
            deadline_unix_s=self._deadline_unix_s,
            end_unix_s=self._deadline_unix_s,
            prompt_tokens=0,
            max_tokens=0,
            parts=(),
            last_event=self.last_event,
            began_unix_s=now_unix_s,
            resumes=self._resumes,
        )
        self._resumes = self._resumes or request_id
        self._serving = asyncio.ensure_future(runner.serve(request, self.sink))

    def waits(self) -> bool:
        """Return whether a try is under way."""
        return self._serving is not None and not self._serving.done()

    def may_return(self, now_unix_s: float) -> bool:
        """Return whether it takes the stream up again: it is incomplete, and not for good."""
        refusal = self.sink.refusal
        final = refusal is not None and not refusal.retry_after_s
        in_time = not self._deadline_unix_s or now_unix_s < self._deadline_unix_s
        return in_time and not self.complete and not final

    async def disconnect(self) -> None:
        """Lose the connection, with what has come so far."""
        if self._serving is not None:
            self._serving.cancel()
            await asyncio.wait([self._serving])
            self._serving = None
            self.note_events()

    async def wait(self) -> None:
        """Wait for the end of the answer."""
        assert self._serving is not None
        await self._serving
        self.note_events()

    def note_events(self) -> None:
        """Add the events of the last try."""
        lines = self.sink.body.decode().splitlines()
        numbers = [int(line[3:]) for line in lines if line.startswith('id:')]
        assert numbers == list(range(self.last_event + 1, self.last_event + 1 + len(numbers)))
        self.versions += [line[6:] for line in lines if line.startswith('data:')]
        self.last_event += len(numbers)


class StreamFleet(RouterFleet):
    """Routers, sidecars, servers of several versions and their callers."""

    def __init__(self, routers: int, sidecars: int) -> None:
        """Start them without servers."""
        super().__init__(sidecars)
        self.servers = StreamServers()
        self.callers: list[StreamCaller] = []
        self.fresh: list[StreamCaller] = []
        self.route = ROUTE
        self._runners: list[Runner] = []
        self._numbers = itertools.count()
        self._loop.run(self._start, routers)

    def serve(self, count: int, version: str, service: str = SERVICE) -> None:
        """Start servers of a version."""
        self._loop.run(self._serve, count, version, service)

    def lead_to(self, *services: str) -> None:
        """Let the route lead to these services, in equal shares."""
        self.route = ROUTE._replace(targets=tuple(Target(service, 1) for service in services))

    def refuse_writes(self) -> None:
        """Let the store refuse all writes from now on."""

        async def refuse(*_: object) -> None:
            raise StoreUnreachable('refused')

        self._store.swap = refuse

    def begin_steadily(self, per_s: float, seconds: float) -> None:
        """Begin streams at each router, ``per_s`` of them a second."""
        self._loop.run(self._begin_steadily, per_s, seconds)

    def copied_bytes(self) -> int:
        """Return the bytes of all calls for origins, with frames and packets, in all."""
        path = rpcs.ORIGINS.path
        return self._net.sent_bytes.get(path, 0) + MESSAGE_BYTES * self._net.calls.get(path, 0)

    def begin(self, count: int) -> None:
        """Begin streams at all routers in turn."""
        self._loop.run(self._begin, count)

    def take_up(self, way: str) -> None:
        """Break all streams in a way, take them up and wait for their ends."""
        self._loop.run(WAYS[way], self)

    def resume_beside(self, count: int) -> None:
        """Kill the first router; its callers come back while others begin new streams."""
        self._loop.run(self._resume_beside, count)

    def leave(self, version: str) -> None:
        """Let the servers of a version leave, with their streams cut."""
        self._loop.run(self._leave, version)

    def lose_everything(self) -> None:
        """Kill all processes of the fleet, and start all of them again."""
        self._loop.run(self._lose_everything)

    async def by_router(self) -> None:
        """Crash a server of each version."""
        crashing: dict[str, asyncio.Event] = {}
        for lifetime, crashed in self.servers.running.items():
            crashing.setdefault(lifetime.split('-')[0], crashed)
        for crashed in crashing.values():
            crashed.set()
        await self._finish()

    async def at_same(self) -> None:
        """Break the connections to the callers."""
        await self._return(0)

    async def at_another(self) -> None:
        """Let callers come back to the next router."""
        await self._return(1)

    async def after_kill(self) -> None:
        """Kill the first router."""
        self._routers[0].kill()
        await self._return(1)

    async def after_restart(self) -> None:
        """Restart the first router."""
        await self._disconnect()
        await self._restart([0])
        await self._return(0)

    async def after_all(self) -> None:
        """Restart all routers."""
        await self._disconnect()
        await self._restart(range(len(self._routers)))
        await self._return(1)

    async def across_cut(self) -> None:
        """Cut all routers off from each other, and from the half of the sidecars."""
        addresses = [router.address for router in self._routers]
        sidecars = {f'10.0.1.{number}:1' for number in range(len(self._sidecars) // 2)}
        for address in addresses:
            self._net.part({address}, (set(addresses) - {address}) | sidecars)
        await self._return(1)

    async def through_hand_over(self) -> None:
        """Replace the sidecars in turn, after the first router was killed."""
        self._routers[0].kill()
        await self._disconnect()
        for number, sidecar in enumerate(self._sidecars):
            await sidecar.stop()
            self._sidecars[number] = await self._start_sidecar(number)
            await anyio.sleep(EVENT_S)
        await self._return(1)

    async def twice(self) -> None:
        """Kill the first router, and the second one after the streams were taken up there."""
        self._routers[0].kill()
        await self._disconnect()
        self._start_tries(self._runners[1])
        await anyio.sleep(BEGUN_S)
        self._routers[1].kill()
        await self._disconnect()
        self._start_tries(self._runners[2])
        await self._finish()

    async def _start(self, routers: int) -> None:
        await self._start_sidecars()
        for number in range(routers):
            self._start_router(number)
        await anyio.sleep(START_S)

    def _start_router(self, number: int) -> None:
        name = f'router-{next(self._numbers)}'
        router = CutRouter(name, f'10.0.0.{number}:1', self._net, self._store, Entries())
        router.start(ACCOUNT)
        streams = router.streams.resumption
        runner = Runner(router.dispatcher, router.pools, self.servers, self._clock, streams=streams)
        if number < len(self._routers):
            self._routers[number] = router
            self._runners[number] = runner
        else:
            self._routers.append(router)
            self._runners.append(runner)

    async def _start_sidecar(self, number: int) -> MemorySidecar:
        name = f's-{next(self._numbers)}'
        sidecar = MemorySidecar(name, f'10.0.1.{number}:1', self._net, self._store)
        await sidecar.start()
        return sidecar

    async def _serve(self, count: int, version: str, service: str) -> None:
        for number in range(count):
            lifetime = f'{version}-{number}'
            self.servers.running[lifetime] = asyncio.Event()
            address = f'{lifetime}:1'
            server = RouteServer(lifetime, service, address, 'porto-a', 64, version=version)
            self._store.put(f'{SERVERS}{lifetime}', msgspec.json.encode(server))
        await anyio.sleep(SETTLE_S)

    async def _begin(self, count: int) -> None:
        self.callers = self._started(count, self._runners)
        await anyio.sleep(BEGUN_S)

    async def _begin_steadily(self, per_s: float, seconds: float) -> None:
        for _ in range(int(per_s * seconds)):
            self.callers += self._started(len(self._runners), self._runners)
            await anyio.sleep(1 / per_s)

    def _started(self, count: int, runners: list[Runner]) -> list[StreamCaller]:
        callers = [StreamCaller(self._numbers) for _ in range(count)]
        for number, caller in enumerate(callers):
            caller.began_at = number % len(runners)
            caller.start(runners[caller.began_at], self._clock.now_s(), self.route)
        return callers

    async def _disconnect(self) -> None:
        for caller in self.callers:
            await caller.disconnect()

    async def _return(self, step: int) -> None:
        """Let each caller come back, ``step`` routers further."""
        await self._disconnect()
        for caller in self.callers:
            runner = self._runners[(caller.began_at + step) % len(self._runners)]
            if step and runner is self._runners[0]:
                runner = self._runners[1]
            caller.start(runner, self._clock.now_s(), self.route)
        await self._finish()

    def _start_tries(self, runner: Runner) -> None:
        for caller in self.callers:
            caller.start(runner, self._clock.now_s(), self.route)

    async def _finish(self) -> None:
        for caller in self.callers:
            await caller.wait()

    async def _restart(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            self._routers[number].kill()
            self._start_router(number)
        await anyio.sleep(SETTLE_S)

    async def _resume_beside(self, count: int) -> None:
        self._routers[0].kill()
        await self._disconnect()
        self.fresh = self._started(count, self._runners[1:])
        self._start_tries(self._runners[1])
        await self._finish()
        for caller in self.fresh:
            await caller.wait()

    async def _leave(self, version: str) -> None:
        for lifetime in [one for one in self.servers.running if one.startswith(version)]:
            self.servers.running.pop(lifetime).set()
            self._store.remove(f'{SERVERS}{lifetime}')
        await anyio.sleep(SETTLE_S)

    async def _lose_everything(self) -> None:
        await self._disconnect()
        for number, _ in enumerate(self._sidecars):
            self._net.kill(f'10.0.1.{number}:1')
            self._sidecars[number] = await self._start_sidecar(number)
        await self._restart(range(len(self._routers)))


WAYS: MappingProxyType[str, Callable[[StreamFleet], Awaitable[None]]] = MappingProxyType(
    {
        'by the router itself within one answer': StreamFleet.by_router,
        'at the same router': StreamFleet.at_same,
        'at another router': StreamFleet.at_another,
        'after its router was killed': StreamFleet.after_kill,
        'after its router was restarted': StreamFleet.after_restart,
        'after all routers were restarted': StreamFleet.after_all,
        'across a cut between machines': StreamFleet.across_cut,
        'through a hand-over between sidecars': StreamFleet.through_hand_over,
        'twice over': StreamFleet.twice,
    }
)
