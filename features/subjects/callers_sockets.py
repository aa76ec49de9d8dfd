"""Subject: the HTTP side on a real socket, served by hypercorn, asked with httpx."""

from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import httpx
from anyio.abc import SocketStream

from endivesaddle.callers.app import CallersApp
from endivesaddle.callers.server import serve
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.fleet.clock import WallClock
from endivesaddle.fleet.interfaces import Answer, CallerRequest
from subjects.callers import KEY, SSE, Parts

CHAT = b'{"model": "boards", "messages": [{"role": "user", "content": "hi"}], "stream": true}'
GUARD_S = 20
FIRST = b'data: 1\n\n'
LAST = b'data: [DONE]\n\n'
CUT = b'(cut)'
PART = b'x' * 100


class HeldFront:
    """Stream one event, and the last when it is let go."""

    def __init__(self) -> None:
        """Hold the answer back."""
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
        except BaseException:  # noqa: WPS424 (any end but a good one counts as cut)
            self.cut.set()
            raise


class CallersSockets:
    """Serve, stream one answer, and stop while it is under way."""

    def __init__(self) -> None:
        """Start with nothing asked."""
        self.settings = CallersSettings()
        self.got: list[bytes] = []
        self.ended = False
        self.refused = False
        self.was_cut = False
        self.cut_count = 0

    def run(self, during: Callable[['Open'], Awaitable[None]], stop_within_s: float) -> None:
        """Do ``during`` while a stream is open; returns when the server has ended."""
        anyio.run(self._run, during, stop_within_s)

    async def _run(self, during: Callable[['Open'], Awaitable[None]], stop_within_s: float) -> None:
        front = HeldFront()
        parts = Parts()
        app = CallersApp(self.settings, front, parts, WallClock(), parts, parts)
        shutdown = anyio.Event()
        with anyio.fail_after(GUARD_S):
            async with anyio.create_task_group() as group:
                address = await group.start(serve, app, '127.0.0.1:0', shutdown, stop_within_s)
                await self._stream(Open(self, front, shutdown, address), during)
        self.ended = True
        self.cut_count = app.cut_count
        self.was_cut = front.cut.is_set()

    async def _stream(self, opened: 'Open', during: Callable[['Open'], Awaitable[None]]) -> None:
        headers = {'authorization': f'Bearer {KEY}'}
        url = f'http://{opened.address}/v1/chat/completions'
        async with httpx.AsyncClient(headers=headers) as client:
            async with client.stream('POST', url, content=CHAT) as answer:
                chunks = answer.aiter_bytes()
                self.got.append(await anext(chunks))
                await during(opened)
                await self._take_rest(chunks)

    async def _take_rest(self, chunks: AsyncIterator[bytes]) -> None:
        try:
            async for chunk in chunks:
                self.got.append(chunk)
        except httpx.RemoteProtocolError:
            self.got.append(CUT)


class Open:
    """A stream under way: what can be done meanwhile."""

    def __init__(
        self, subject: CallersSockets, front: HeldFront, shutdown: anyio.Event, address: str
    ) -> None:
        """Hold on to both ends."""
        self.subject = subject
        self.front = front
        self.shutdown = shutdown
        self.address = address


async def stop_then_go_on(opened: Open) -> None:
    """Tell the server to stop, see that it takes no connection, let the stream end."""
    opened.shutdown.set()
    host, _, port = opened.address.partition(':')
    while not opened.subject.refused:
        try:
            connection = await anyio.connect_tcp(host, int(port))
        except OSError:
            opened.subject.refused = True
        else:
            await connection.aclose()
    opened.front.release.set()


async def stop_and_hold(opened: Open) -> None:
    """Tell the server to stop and never let the stream end."""
    opened.shutdown.set()


async def leave(opened: Open) -> None:
    """Wait for nothing: the answer is closed by the caller."""
    raise CallerLeft


class CallerLeft(Exception):
    """The caller closed its connection."""


class LeavingCaller(CallersSockets):
    """A caller that closes its connection in the middle of the stream."""

    async def _stream(self, opened: Open, during: Callable[[Open], Awaitable[None]]) -> None:
        try:
            await super()._stream(opened, during)
        except CallerLeft:
            await opened.front.cut.wait()
        opened.shutdown.set()


class BusyCaller(CallersSockets):
    """A caller that sends one chat after another over one connection."""

    def __init__(self, count: int) -> None:
        """Send ``count`` chats."""
        super().__init__()
        self.count = count
        self.metrics = ''

    async def _stream(self, opened: Open, during: Callable[[Open], Awaitable[None]]) -> None:
        opened.front.release.set()
        headers = {'authorization': f'Bearer {KEY}'}
        limits = httpx.Limits(max_connections=1)
        url = f'http://{opened.address}'
        async with httpx.AsyncClient(headers=headers, limits=limits) as client:
            for _ in range(self.count):
                answer = await client.post(f'{url}/v1/chat/completions', content=CHAT)
                self.got.append(answer.content)
            self.metrics = (await client.get(f'{url}/metrics')).text
            await during(opened)


class LongBodyCaller(CallersSockets):
    """A caller whose body comes in many parts, without ever ending."""

    def __init__(self, parts: int, fitting: int) -> None:
        """Send ``parts`` parts; the first ``fitting`` are not too large."""
        super().__init__()
        self.parts = parts
        self.settings = CallersSettings(max_body_bytes=fitting * len(PART))

    async def _stream(self, opened: Open, during: Callable[[Open], Awaitable[None]]) -> None:
        host, _, port = opened.address.partition(':')
        head = f'POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n'
        async with await anyio.connect_tcp(host, int(port)) as connection:
            await connection.send(f'{head}Transfer-Encoding: chunked\r\n\r\n'.encode())
            chunk = b'%x\r\n%b\r\n' % (len(PART), PART)
            await connection.send(b''.join(chunk for _ in range(self.parts)))
            await self._take_all(connection)
        await during(opened)

    async def _take_all(self, connection: SocketStream) -> None:
        try:
            while True:
                self.got.append(await connection.receive())
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return
