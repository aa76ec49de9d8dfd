"""Subject: routers, and servers that announce their state in their responses."""

import asyncio
import itertools

import anyio
import msgspec

from endivesaddle.backend_servers.connection_pool import ConnectionPool
from endivesaddle.backend_servers.forward_client import ForwardClient
from endivesaddle.backend_servers.server_connection import ServerConnection
from endivesaddle.fleet.routes.declared import Repeat, Route, RouteAccount, RouteServer, Target
from endivesaddle.fleet.routes.forwarded import ForwardRequest
from endivesaddle.fleet.routes.header_names import HeaderNames
from endivesaddle.fleet.routes.running import Runner
from subjects.cut_router import CutRouter
from subjects.forward_runs import RecordingSink
from subjects.leaving_servers import SERVERS, SERVICE, Entries
from subjects.router_fleet import RouterFleet

START_S = 3.0
PAUSE_S = 0.1
MOST_TRIES = 60
OK = 200
UNAVAILABLE = 503
ACCOUNT = RouteAccount('ateliers', (), None, None)
REQUEST_ID = b'endivesaddle-request-id: '
LEAVES = b'endivesaddle-leaving: 1\r\n'
NOT_RUN = b'endivesaddle-not-run: 1\r\n'
SEAL = b'endivesaddle-seal: x\r\n'
RESPONSE = b'HTTP/1.1 %d Said\r\n%s\r\n%scontent-length: 4\r\n\r\nbody'
ROUTE = Route('boards', 'host', '/b/', Repeat.SAFE, 4000, 500, 1, (Target(SERVICE, 1),), 3)


class AnnouncingServer:
    """One server: its responses, and how many requests it got."""

    def __init__(self) -> None:
        """Initialize as a server that answers with 200."""
        self.got = 0
        self.held_s = 0.0
        self.status = OK
        self.headers = b''

    def leave(self, status: int) -> None:
        """Announce in responses of a status that it leaves."""
        self.status = status
        self.headers = LEAVES
        if status == UNAVAILABLE:
            self.headers += NOT_RUN

    def turn_away(self, retry_after: str) -> None:
        """Decline requests, with a retry time."""
        self.status = UNAVAILABLE
        self.headers = NOT_RUN + f'retry-after: {retry_after}\r\n'.encode()

    def answer(self, request: bytes) -> bytes:
        """Count a request and return the bytes of its response."""
        self.got += 1
        start = request.index(REQUEST_ID)
        named = request[start : request.index(b'\r\n', start)]
        headers = self.headers
        if NOT_RUN not in headers:
            headers += SEAL
        return RESPONSE % (self.status, named, headers)


class AnnouncingTransport(asyncio.Transport):
    """A connection to such a server."""

    def __init__(self, server: AnnouncingServer, connection: ServerConnection) -> None:
        """Let ``server`` answer what is sent."""
        super().__init__()
        self._server = server
        self._connection = connection

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Pass what is sent to the server, and return its response."""
        answer = self._server.answer(bytes(data))
        loop = asyncio.get_running_loop()
        loop.call_later(self._server.held_s, self._connection.data_received, answer)

    def is_closing(self) -> bool:
        """Stay open."""
        return False

    def abort(self) -> None:
        """Stay open."""


class AnnouncingFleet(RouterFleet):
    """Routers and such servers; each call runs on one loop in virtual time."""

    def __init__(self, routers: int, servers: int, sidecars: int = 0) -> None:
        """Start them, and let them discover each other."""
        super().__init__(sidecars)
        self._runners: list[Runner] = []
        self._ids = itertools.count()
        self.servers = [AnnouncingServer() for _ in range(servers)]
        self.sinks: list[RecordingSink] = []
        self._loop.run(self._start, routers)

    def enter(self, server: int, born_unix_ms: int = 0) -> None:
        """Write a server's entry, as not leaving."""
        self._loop.run(self._enter, server, born_unix_ms)

    def vanish(self, server: int, seconds: float) -> None:
        """Remove a server's entry for a while."""
        self._store.remove(f'{SERVERS}life-{server}')
        self._loop.run(self._tend, seconds)
        self.enter(server)

    def meet(self, router: int, server: int) -> None:
        """Send requests until one has reached a server."""
        for _ in range(MOST_TRIES):
            if self.servers[server].got:
                break
            self.come(1, router)
        assert self.servers[server].got
        self._forget()

    def come(self, times: int, router: int) -> None:
        """Send requests, one after the other."""
        self._loop.run(self._come, times, router)

    def _forget(self) -> None:
        """Reset the counts."""
        self.sinks.clear()
        for server in self.servers:
            server.got = 0

    async def _start(self, routers: int) -> None:
        for entered, _ in enumerate(self.servers):
            await self._enter(entered, 0)
        await self._start_sidecars()
        for number in range(routers):
            self._start_router(number)
        await anyio.sleep(START_S)

    async def _tend(self, seconds: float) -> None:
        """Let time pass, then drop servers that are gone from the routers."""
        await anyio.sleep(seconds)
        for router in self._routers:
            present = set(router.routing_state.servers)
            router.dispatcher.backends.drop_all_but(present, self._clock.now_s())

    def _start_router(self, number: int) -> None:
        name = f'router-{number}'
        router = CutRouter(name, f'10.0.0.{number}:1', self._net, self._store, Entries())
        router.start(ACCOUNT)
        links = ForwardClient(ConnectionPool(self._connect), HeaderNames(), self._clock)
        self._routers.append(router)
        self._runners.append(Runner(router.dispatcher, router.pools, links, self._clock))

    async def _enter(self, number: int, born_unix_ms: int) -> None:
        address = f'10.0.2.{number}:1'
        server = RouteServer(
            f'life-{number}', SERVICE, address, 'porto-a', 64, born_unix_ms=born_unix_ms
        )
        self._store.put(f'{SERVERS}{server.lifetime}', msgspec.json.encode(server))

    async def _connect(self, address: str) -> ServerConnection:
        await anyio.sleep(0)
        connection = ServerConnection()
        number = int(address.partition(':')[0].rpartition('.')[2])
        connection.connection_made(AnnouncingTransport(self.servers[number], connection))
        return connection

    async def _come(self, times: int, router: int) -> None:
        for _ in range(times):
            sink = RecordingSink()
            await self._runners[router].serve(self._made(), sink)
            self.sinks.append(sink)
            await anyio.sleep(PAUSE_S)

    def _made(self) -> ForwardRequest:
        now_unix_s = self._clock.now_s()
        request_id = f'attempt-{next(self._ids)}'
        return ForwardRequest(
            request_id=request_id,
            route=ROUTE,
            account=ACCOUNT,
            method='GET',
            target='/b/x',
            headers=(('host', 'host'), ('endivesaddle-request-id', request_id)),
            body=b'',
            deadline_unix_s=now_unix_s + 4,
            end_unix_s=now_unix_s + 4,
            prompt_tokens=0,
            max_tokens=0,
            parts=(),
            last_event=-1,
            began_unix_s=now_unix_s,
        )
