"""Subject: the listener of a forwarding router on a real socket, with raw requests."""

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio

from endivesaddle.callers.settings import CallersSettings
from endivesaddle.daemon.forward_http import serve_http
from endivesaddle.fleet.routes.declared import Declarations, RequestLimits
from endivesaddle.fleet.routes.routing_state import RoutingState

GUARD_S = 20
IDLE_MS = 300
HEADER_BYTES = 2000
END = b'0\r\n\r\n'
Message = MutableMapping[str, Any]


class EchoApp:
    """Answers with the target; some paths make it wait or break off."""

    def __init__(self) -> None:
        """Initialize without requests."""
        self.requests: list[str] = []
        self.disconnected = anyio.Event()
        self.held = anyio.Event()

    async def __call__(
        self,
        scope: MutableMapping[str, Any],
        receive: Callable[[], Awaitable[Message]],
        send: Callable[[Message], Awaitable[None]],
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        target = scope['raw_path'].partition(b'?')[0]
        if scope['query_string']:
            target = b'%s?%s' % (target, scope['query_string'])
        body = await _body(receive)
        if body is None:
            return
        self.requests.append(f'{scope["method"]} {target.decode()} {body.decode()}')
        if target == b'/left':
            assert (await receive())['type'] == 'http.disconnect'
            self.disconnected.set()
            return
        await send({'type': 'http.response.start', 'status': 200, 'headers': []})
        await send({'type': 'http.response.body', 'body': target, 'more_body': True})
        if target == b'/cut':
            return
        if target == b'/held':
            await self.held.wait()
        await send({'type': 'http.response.body', 'body': b'.', 'more_body': False})


async def _body(receive: Callable[[], Awaitable[Message]]) -> bytes | None:
    """Return the body, or None if the caller disconnected before its end."""
    parts = b''
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return None
        parts += message.get('body', b'')
        if not message.get('more_body'):
            return parts


class Caller:
    """One connection of a caller."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Initialize with both directions of the connection."""
        self.reader = reader
        self.writer = writer

    async def rest(self) -> bytes:
        """Return all data received until the connection is closed."""
        try:
            return await self.reader.read()
        except ConnectionError:
            return b'reset'


class ForwardHttp:
    """The listener; ``play`` runs the actions of a scenario against it."""

    def __init__(self) -> None:
        """Initialize with declared limits."""
        self.app = EchoApp()
        self.closed = anyio.Event()
        self.address = ''
        self.max_connections = 1000
        self.stops = False
        self.answered = 0
        self.unread = 0
        self.got = b''
        self.elapsed_s = 0.0
        routing_state = RoutingState()
        limits = RequestLimits(header_bytes=HEADER_BYTES, idle_ms=IDLE_MS)
        routing_state.declare(Declarations(1, (), (), (), limits), b'', 'test')
        self._routing_state = routing_state

    def play(self, actions: Callable[['ForwardHttp'], Awaitable[None]]) -> None:
        """Serve during the actions of a scenario; return when the listener has ended."""
        anyio.run(self._play, actions)

    async def connect(self) -> Caller:
        """Open a connection."""
        host, _, port = self.address.rpartition(':')
        return Caller(*await asyncio.open_connection(host, int(port)))

    async def send(self, data: bytes) -> None:
        """Send bytes on a new connection, and read until it is closed."""
        caller = await self.connect()
        began_s = anyio.current_time()
        caller.writer.write(data)
        self.got = await caller.rest()
        self.elapsed_s = anyio.current_time() - began_s

    async def crowd(self, count: int) -> None:
        """Open many connections at once, and send a request on each."""
        callers = [await self.connect() for _ in range(count)]
        for caller in callers:
            caller.writer.write(b'GET /held HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n')
        while len(self.app.requests) < self.max_connections:
            await anyio.sleep(0.001)
        if self.stops:
            self.closed.set()
        self.app.held.set()
        answers = [await one.rest() for one in callers]
        self.answered = sum(answer.endswith(END) for answer in answers)
        self.unread = sum(answer in {b'', b'reset'} for answer in answers)

    async def crowd_twice(self, count: int) -> None:
        """Open many connections, and one more when they have been closed."""
        await self.crowd(count)
        await self.send(b'GET /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n')

    async def _play(self, actions: Callable[['ForwardHttp'], Awaitable[None]]) -> None:
        settings = CallersSettings(max_connections=self.max_connections)
        with anyio.fail_after(GUARD_S):
            async with anyio.create_task_group() as group:
                self.address = await group.start(
                    serve_http, self.app, '127.0.0.1:0', settings, self._routing_state, self.closed
                )
                await actions(self)
                self.closed.set()


async def disconnect(subject: ForwardHttp) -> None:
    """Close the connection while waiting for the answer."""
    caller = await subject.connect()
    caller.writer.write(b'GET /left HTTP/1.1\r\nhost: a\r\n\r\n')
    while not subject.app.requests:
        await anyio.sleep(0)
    caller.writer.close()
    await subject.app.disconnected.wait()


async def stop(subject: ForwardHttp) -> None:
    """Stop while one connection is idle and one has an unfinished answer."""
    idle = await subject.connect()
    idle.writer.write(b'GET /idle HTTP/1.1\r\nhost: a\r\n\r\n')
    await idle.reader.readuntil(END)
    busy = await subject.connect()
    busy.writer.write(b'GET /held HTTP/1.1\r\nhost: a\r\n\r\n')
    await busy.reader.readuntil(b'/held')
    subject.closed.set()
    assert not await idle.rest()
    subject.app.held.set()
    subject.got = await busy.rest()
