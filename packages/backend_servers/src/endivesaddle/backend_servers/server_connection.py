"""One HTTP/1.1 connection to a backend server; ``httptools`` takes its answers apart.

``httptools`` is the compiled parser that also serves callers here.  With ``httpcore``, whose
parser is Python, a router took 0.32 ms for each event of a stream, two thirds of it on this side
(``tools/bench forward``).  A connection carries one request at a time.
"""

import asyncio
import select
import socket
from collections.abc import AsyncIterator, Callable

import anyio

from endivesaddle.backend_servers.answer_parser import AnswerParser
from endivesaddle.fleet.interfaces import NeverSent, ServerLost, ServerRefused

CONNECT_S = 1.0
"""A connection that takes longer counts as refused: neighbours answer in milliseconds."""
UNACKED_MS = 1200
"""Sent bytes that stay unacknowledged for longer break the connection.

Failure: a connection goes silent for good, and what was sent on it hangs until
the request's deadline.  Lost packets are sent again within 0.2 to 0.6 s, so that
a link with losses keeps its connections."""
PROBE_S = 1
"""A connection that waits for an answer is probed each second, and broken by two misses."""
HELD_BYTES = 1 << 16
"""What waits for a slow caller before the server is read no more."""

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)


class ServerConnection(asyncio.Protocol):
    """One connection; ``idle_until_s`` is how long it may be used again, by the loop's clock."""

    def __init__(self) -> None:
        """Wait for the transport."""
        self.idle_until_s = 0.0
        self._transport: asyncio.Transport | None = None
        self._answer: RawResponse | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport, and bound how long it may be silent."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw = transport.get_extra_info('socket')
        if raw is not None:
            for level, option, number in _SOCKET_OPTIONS:
                raw.setsockopt(level, option, number)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the answer that is waited for."""
        if self._answer is None or self._answer.parser.complete:
            # Nobody waits for these: a late second answer, or bytes that are none.
            self.abort()
        else:
            self._answer.take(data)

    def eof_received(self) -> None:
        """Take the end of what the server sends; the transport then closes itself."""
        if self._answer is not None:
            self._answer.end()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer that is waited for."""
        self._transport = None
        if self._answer is not None:
            self._answer.fail(f'{type(exc).__name__} {exc}' if exc else 'the connection closed')

    def send(self, request: bytes, bodiless: bool) -> 'RawResponse':
        """Send the bytes of a request; its answer is read by what is returned."""
        if self._transport is None:
            raise NeverSent('the connection closed')
        self._answer = RawResponse(self._transport, AnswerParser(bodiless))
        self._transport.write(request)
        return self._answer

    def idle(self) -> bool:
        """Tell whether another request may be sent: the last answer ended, and nothing came since.

        The socket itself is asked too: a server's word that it closes the connection may lie there
        unread, and a request sent after it would be lost.
        """
        if self._transport is None or self._transport.is_closing():
            return False
        if self._answer is not None and not self._answer.parser.reusable:
            return False
        raw = self._transport.get_extra_info('socket')
        return raw is None or not _readable(raw.fileno())

    @property
    def kept_s(self) -> int:
        """How long the server says that it keeps the connection while idle; 0 if it doesn't."""
        return 0 if self._answer is None else self._answer.parser.kept_s

    def abort(self) -> None:
        """Close it at once: what is still to be sent is for nobody."""
        if self._transport is not None:
            self._transport.abort()


class RawResponse:
    """The answer to one request: its head, and its body as it arrives."""

    def __init__(self, transport: asyncio.Transport, parser: AnswerParser) -> None:
        """Read what ``transport`` brings."""
        self.parser = parser
        self._transport = transport
        self._failure = ''
        self._paused = False
        self._waiter: asyncio.Future[None] | None = None

    @property
    def status(self) -> int:
        """The status of an answer whose head is there."""
        return self.parser.status

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """The headers of an answer whose head is there."""
        return self.parser.headers

    async def head(self) -> None:
        """Return when the head is there; raises ``ServerLost``."""
        await self._until(self._begun)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raises ``ServerLost`` where it ends early."""
        while True:
            await self._until(self._more)
            data = self.parser.taken()
            if not data:
                return
            if self._paused:
                self._paused = False
                self._transport.resume_reading()
            yield data

    def take(self, data: bytes) -> None:
        """Parse bytes of the answer."""
        self._failure = self._failure or self.parser.feed(data)
        if self.parser.held_bytes > HELD_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def end(self) -> None:
        """Take the end of the connection, which ends an answer without a length."""
        if not self.parser.end():
            self.fail('the connection closed')
        self._wake()

    def fail(self, reason: str) -> None:
        """End an answer that is not whole."""
        self._failure = self._failure or reason
        self._wake()

    async def _until(self, there: Callable[[], bool]) -> None:
        while not there():
            if self._failure:
                raise ServerLost(self._failure)
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _begun(self) -> bool:
        return self.parser.has_head

    def _more(self) -> bool:
        return self.parser.held_bytes > 0 or self.parser.complete

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(address: str, within_s: float = CONNECT_S) -> ServerConnection:
    """Connect to "ip:port"; raises ``NeverSent``, ``ServerRefused`` where nobody listens."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(within_s):
            _, connection = await loop.create_connection(ServerConnection, host, int(port))
    except ConnectionRefusedError as error:
        raise ServerRefused(f'{address} refuses connections') from error
    except OSError as error:
        raise NeverSent(f'{type(error).__name__} {error}'.strip()) from error
    return connection


def _readable(descriptor: int) -> bool:
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))
