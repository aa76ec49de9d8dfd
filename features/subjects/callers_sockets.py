"""Subject: the HTTP interface on a real socket, with hypercorn as server and httpx as client."""

import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import httpx
from anyio.abc import SocketAttribute, SocketStream
from h2.connection import H2Connection
from h2.events import DataReceived

from endivesaddle.callers.app import CallersApp
from endivesaddle.callers.server import serve
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.fleet.clock import WallClock
from endivesaddle.fleet.interfaces import Answer, CallerRequest
from subjects.callers import KEY, SSE, Parts

CHAT = b'{"model": "boards", "messages": [{"role": "user", "content": "hi"}], "stream": true}'
GUARD_S = 20
NOTICE_S = 0.5
FIRST = b'data: 1\n\n'
LAST = b'data: [DONE]\n\n'
CUT = b'(cut)'
PART = b'x' * 100


class HeldFront:
    """Streams one event, and the last one after ``release`` is set."""

    def __init__(self) -> None:
        """Initialize with the answer held back."""
        self.release = anyio.Event()
        self.cut = anyio.Event()

    async def serve(self, request: CallerRequest) -> Answer:
        """Start the answer."""
        return Answer(200, SSE, self._chunks())

    async def _chunks(self) -> AsyncIterator[bytes]:
        try:
            yield FIRST
            await self.release.wait()
            yield LAST
        except BaseException:  # noqa: WPS424 (any exception counts as cut)
            self.cut.set()
            raise


class CallersSockets:
    """Serves, streams one answer, and stops during the stream."""

    def __init__(self) -> None:
        """Initialize with no request sent."""
        self.settings = CallersSettings()
        self.received: list[bytes] = []
        self.ended = False
        self.refused = False
        self.was_cut = False
        self.noticed = False
        self.cut_count = 0

    def run(self, during: Callable[['OpenStream'], Awaitable[None]], stop_within_s: float) -> None:
        """Run ``during`` while a stream is open; return when the server has ended."""
        anyio.run(self._run, during, stop_within_s)

    async def _run(
        self, during: Callable[['OpenStream'], Awaitable[None]], stop_within_s: float
    ) -> None:
        front = HeldFront()
        parts = Parts()
        app = CallersApp(self.settings, front, parts, WallClock(), parts, parts)
        shutdown = anyio.Event()
        with anyio.fail_after(GUARD_S):
            async with anyio.create_task_group() as group:
                address = await group.start(serve, app, '127.0.0.1:0', shutdown, stop_within_s)
                await self._stream(OpenStream(self, front, shutdown, address), during)
        self.ended = True
        self.cut_count = app.cut_count
        self.was_cut = front.cut.is_set()

    async def _stream(
        self, stream: 'OpenStream', during: Callable[['OpenStream'], Awaitable[None]]
    ) -> None:
        headers = {'authorization': f'Bearer {KEY}'}
        url = f'http://{stream.address}/v1/chat/completions'
        async with httpx.AsyncClient(headers=headers) as client:
            async with client.stream('POST', url, content=CHAT) as answer:
                chunks = answer.aiter_bytes()
                self.received.append(await anext(chunks))
                await during(stream)
                await self._read_rest(chunks)

    async def _read_rest(self, chunks: AsyncIterator[bytes]) -> None:
        try:
            async for chunk in chunks:
                self.received.append(chunk)
        except httpx.RemoteProtocolError:
            self.received.append(CUT)


class OpenStream:
    """An open stream, with what a scenario needs to act during it."""

    def __init__(
        self, subject: CallersSockets, front: HeldFront, shutdown: anyio.Event, address: str
    ) -> None:
        """Initialize with both ends of the stream."""
        self.subject = subject
        self.front = front
        self.shutdown = shutdown
        self.address = address


async def stop_then_finish(stream: OpenStream) -> None:
    """Stop the server, check that it accepts no connection, and let the stream end."""
    stream.shutdown.set()
    host, _, port = stream.address.partition(':')
    while not stream.subject.refused:
        try:
            connection = await anyio.connect_tcp(host, int(port))
        except OSError:
            stream.subject.refused = True
        else:
            await connection.aclose()
    stream.front.release.set()


async def stop_and_hold(stream: OpenStream) -> None:
    """Stop the server and never let the stream end."""
    stream.shutdown.set()


async def disconnect(stream: OpenStream) -> None:
    """Close the caller's connection at once."""
    raise CallerDisconnected


class CallerDisconnected(Exception):
    """The caller closed its connection."""


class DisconnectingCaller(CallersSockets):
    """A caller that closes its connection in the middle of the stream."""

    async def _stream(
        self, stream: OpenStream, during: Callable[[OpenStream], Awaitable[None]]
    ) -> None:
        try:
            await super()._stream(stream, during)
        except CallerDisconnected:
            await stream.front.cut.wait()
        stream.shutdown.set()


class LeavingCaller(CallersSockets):
    """A caller that leaves, and the time until the front learns of it."""

    async def _leave(self, connection: SocketStream) -> None:
        """Leave while the answer is awaited."""
        raise NotImplementedError

    async def _send(self, connection: SocketStream, host: str) -> None:
        """Send the request, and read until the answer has begun."""
        raise NotImplementedError

    async def _stream(
        self, stream: OpenStream, during: Callable[[OpenStream], Awaitable[None]]
    ) -> None:
        host, _, port = stream.address.partition(':')
        async with await anyio.connect_tcp(host, int(port)) as connection:
            await self._send(connection, host)
            await self._leave(connection)
            with anyio.move_on_after(NOTICE_S):
                await stream.front.cut.wait()
            self.noticed = stream.front.cut.is_set()
        stream.front.release.set()
        await during(stream)


class PipeliningCaller(LeavingCaller):
    """A caller that sends more requests behind the first one, and closes or resets."""

    def __init__(self, more: int = 1, *, resets: bool = False) -> None:
        """Initialize with the number of further requests."""
        super().__init__()
        self._more = more
        self._resets = resets

    async def _send(self, connection: SocketStream, host: str) -> None:
        head = f'POST /v1/chat/completions HTTP/1.1\r\nHost: {host}\r\nAuthorization: Bearer {KEY}'
        request = f'{head}\r\nContent-Length: {len(CHAT)}\r\n\r\n'.encode() + CHAT
        await connection.send(request * (1 + self._more))
        while FIRST not in b''.join(self.received):
            self.received.append(await connection.receive())

    async def _leave(self, connection: SocketStream) -> None:
        if self._resets:
            raw = connection.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
        await connection.aclose()


class PatientCaller(PipeliningCaller):
    """A caller that sends two requests at once and reads both answers."""

    async def _leave(self, connection: SocketStream) -> None:
        await anyio.sleep(NOTICE_S)

    async def _stream(
        self, stream: OpenStream, during: Callable[[OpenStream], Awaitable[None]]
    ) -> None:
        host, _, port = stream.address.partition(':')
        async with await anyio.connect_tcp(host, int(port)) as connection:
            await self._send(connection, host)
            await self._leave(connection)
            assert not stream.front.cut.is_set()
            stream.front.release.set()
            while b''.join(self.received).count(LAST) < 2:
                self.received.append(await connection.receive())
        await during(stream)


class CancellingCaller(LeavingCaller):
    """A caller that cancels its stream on an HTTP/2 connection, which stays open."""

    def __init__(self) -> None:
        """Initialize without a stream."""
        super().__init__()
        self._http = H2Connection()

    async def _send(self, connection: SocketStream, host: str) -> None:
        headers = (
            (':method', 'POST'),
            (':scheme', 'http'),
            (':authority', host),
            (':path', '/v1/chat/completions'),
            ('authorization', f'Bearer {KEY}'),
        )
        self._http.initiate_connection()
        self._http.send_headers(1, headers)
        self._http.send_data(1, CHAT, end_stream=True)
        await connection.send(self._http.data_to_send())
        while FIRST not in b''.join(self.received):
            received = self._http.receive_data(await connection.receive())
            self.received.extend(one.data for one in received if isinstance(one, DataReceived))
            await connection.send(self._http.data_to_send())

    async def _leave(self, connection: SocketStream) -> None:
        self._http.reset_stream(1)
        await connection.send(self._http.data_to_send())


class BusyCaller(CallersSockets):
    """A caller that sends one chat after another over one connection."""

    def __init__(self, count: int) -> None:
        """Initialize to send ``count`` chats."""
        super().__init__()
        self.count = count
        self.metrics = ''

    async def _stream(
        self, stream: OpenStream, during: Callable[[OpenStream], Awaitable[None]]
    ) -> None:
        stream.front.release.set()
        headers = {'authorization': f'Bearer {KEY}'}
        limits = httpx.Limits(max_connections=1)
        url = f'http://{stream.address}'
        async with httpx.AsyncClient(headers=headers, limits=limits) as client:
            for _ in range(self.count):
                answer = await client.post(f'{url}/v1/chat/completions', content=CHAT)
                self.received.append(answer.content)
            self.metrics = (await client.get(f'{url}/metrics')).text
            await during(stream)


class LongBodyCaller(CallersSockets):
    """A caller that sends a body in many parts, without its end."""

    def __init__(self, parts: int, fitting: int) -> None:
        """Initialize to send ``parts`` parts, of which ``fitting`` fit within the limit."""
        super().__init__()
        self.parts = parts
        self.settings = CallersSettings(max_body_bytes=fitting * len(PART))

    async def _stream(
        self, stream: OpenStream, during: Callable[[OpenStream], Awaitable[None]]
    ) -> None:
        host, _, port = stream.address.partition(':')
        head = f'POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n'
        async with await anyio.connect_tcp(host, int(port)) as connection:
            await connection.send(f'{head}Transfer-Encoding: chunked\r\n\r\n'.encode())
            chunk = b'%x\r\n%b\r\n' % (len(PART), PART)
            await connection.send(b''.join(chunk for _ in range(self.parts)))
            await self._read_all(connection)
        await during(stream)

    async def _read_all(self, connection: SocketStream) -> None:
        try:
            while True:
                self.received.append(await connection.receive())
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return
