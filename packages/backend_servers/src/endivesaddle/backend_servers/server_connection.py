"""One HTTP/1.1 connection to a backend server, with responses parsed by ``httptools``.

``httptools`` is the compiled parser that is also used for callers.  With ``httpcore``, whose parser
is written in Python, a router took 0.32 ms per event of a stream, two thirds of it on this side
(``tools/bench forward``).  A connection carries one request at a time.
"""

import asyncio
import fcntl
import select
import socket
import struct
import termios
from collections import deque
from collections.abc import AsyncIterator, Callable
from functools import partial

import anyio

from endivesaddle.backend_servers.answer_parser import AnswerParser
from endivesaddle.backend_servers.held_bytes import ResponseTooLong
from endivesaddle.fleet.interfaces import NeverSent, ServerLost, ServerRefused
from endivesaddle.fleet.overload.traffic import PACKET_BYTES, Traffic

CONNECT_S = 1.0
"""Connect time-out: neighbours answer within milliseconds."""
UNACKED_MS = 1200
"""Time-out of unacknowledged data, after which the connection breaks.

Failure: a connection stops passing packets without an error, and its request hangs until the
deadline.  Lost packets are retransmitted within 0.2 to 0.6 s, so that connections survive on a link
with packet loss."""
PROBE_S = 1
"""Keep-alive probe interval while a connection waits; two lost probes break it."""
MAX_BUFFERED_BYTES = 1 << 15
"""Maximum of buffered bytes for a slow caller; beyond it reading from the server pauses."""
READ_BYTES = 1 << 15
"""Bytes that are read at a time; asyncio's own buffer has eight times as many, for each read."""
SMALL_READ_BYTES = 1 << 12
"""Bytes of the first read of a response, and of reads while its parts are small."""
SMALL_PART_BYTES = 16
"""Below this average size of headers and parts, less is read at a time: each part is a call of the
parser, and other connections wait for the end of a read."""
MAX_SKIPPED_BYTES = 1 << 20
"""Maximum size of a late response that is passed over."""

MAX_IDS = 16
"""Requests whose late responses are recognized; a connection carries hundreds."""

_READ_BUFFER = memoryview(bytearray(READ_BYTES))
"""Shared by all connections: what is read is parsed before the next read."""
_INT = struct.Struct('i')
_RESET = struct.pack('ii', 1, 0)
"""Option of a socket that is reset when it is closed."""

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)


class ServerConnection(asyncio.BufferedProtocol):
    """One connection; it may be reused until ``idle_until_s`` on the clock of the event loop.

    ``incarnation`` is that of the server behind it, '' while it is not proven; ``received_s`` is
    when data last came, on the same clock.
    """

    def __init__(self, traffic: Traffic | None = None) -> None:
        """Initialize without a transport; its bytes are counted in ``traffic``."""
        self._traffic = traffic or Traffic()
        self.idle_until_s = 0.0
        self.incarnation = ''
        self.received_s = 0.0
        self._transport: asyncio.Transport | None = None
        self._answer: RawResponse | None = None
        self._in_exchange = False
        self._read_bytes = SMALL_READ_BYTES
        self._sent_ids: deque[str] = deque(maxlen=MAX_IDS)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and set its socket time-outs."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._traffic.writing.add(transport)
        raw = transport.get_extra_info('socket')
        if raw is not None:
            for level, option, number in _SOCKET_OPTIONS:
                raw.setsockopt(level, option, number)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _READ_BUFFER[: self._read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle bytes that were read into the buffer."""
        self.data_received(_READ_BUFFER[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Pass received bytes to the current response."""
        self._traffic.received_bytes += len(data) + PACKET_BYTES
        self.received_s = asyncio.get_running_loop().time()
        if self._answer is None or not self._in_exchange:
            # Unexpected data: a late second response or stray bytes.
            self.abort()
        elif self._answer.take(data):
            small_parts = self._answer.parser.part_count * SMALL_PART_BYTES > len(data)
            self._read_bytes = SMALL_READ_BYTES if small_parts else READ_BYTES
        else:
            self.abort()

    def eof_received(self) -> None:
        """Handle the end of the server's data; the transport then closes itself."""
        if self._answer is not None:
            self._answer.end()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the current response."""
        if self._transport is not None:
            self._traffic.writing.discard(self._transport)
        self._transport = None
        if self._answer is not None:
            self._answer.fail(f'{type(exc).__name__} {exc}' if exc else 'the connection closed')

    def send(self, request: bytes, bodiless: bool, request_id: str = '') -> 'RawResponse':
        """Send the bytes of a request and return its response.

        ``request_id`` identifies the request in responses, '' if they don't name it.
        """
        if self._transport is None:
            raise NeverSent('the connection closed')
        earlier_ids = frozenset(self._sent_ids)
        self._answer = RawResponse(self._transport, AnswerParser(bodiless), earlier_ids)
        self._in_exchange = True
        self._read_bytes = SMALL_READ_BYTES
        if request_id:
            self._sent_ids.append(request_id)
        self._traffic.sent_bytes += len(request) + PACKET_BYTES
        self._transport.write(request)
        return self._answer

    def end_exchange(self) -> None:
        """Expect no more data until the next request."""
        self._in_exchange = False

    @property
    def open(self) -> bool:
        """Whether neither side is known to have closed it."""
        return self._transport is not None and not self._transport.is_closing()

    def idle(self) -> bool:
        """Return whether another request may be sent: the last response ended without extra data.

        The socket is checked too: the server's close may be unread in its buffer, and a request
        sent after it would be lost.
        """
        if self._transport is None or not self.open:
            return False
        if self._answer is not None and not self._answer.reusable:
            return False
        raw = self._transport.get_extra_info('socket')
        return raw is None or not _readable(raw.fileno())

    @property
    def keep_alive_s(self) -> int:
        """Seconds for which the server keeps an idle connection, 0 if not given."""
        return 0 if self._answer is None else self._answer.parser.keep_alive_s

    def abort(self) -> None:
        """Close the connection at once and discard unsent data, in the socket too.

        After an orderly close the rest of a request would still be sent, and run for nobody.  A
        connection whose data was all received is closed in order: a reset is not sent again when
        its packet is lost.
        """
        if self._transport is None:
            return
        raw = self._transport.get_extra_info('socket')
        if raw is not None and _unacknowledged_bytes(raw.fileno()):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._transport.abort()


class RawResponse:
    """The response to one request: its headers, and its body as it arrives."""

    def __init__(
        self,
        transport: asyncio.Transport,
        parser: AnswerParser,
        earlier_ids: frozenset[str] = frozenset(),
    ) -> None:
        """Read the response from ``transport``, which has carried requests ``earlier_ids``."""
        self.parser = parser
        self._earlier_ids = earlier_ids
        self._transport = transport
        self._failure: ServerLost | None = None
        self._paused = False
        self._waiter: asyncio.Future[None] | None = None

    @property
    def status(self) -> int:
        """The status, once the headers have been received."""
        return self.parser.response.status

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """The headers, once they have been received."""
        return self.parser.response.headers

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request: it is read, and nothing is left."""
        return self.parser.reusable and not self._paused

    async def head(self) -> None:
        """Wait for the headers; raise ``ServerLost`` if the connection breaks."""
        await self._until(self._has_headers)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise ``ServerLost`` if it ends early.

        Reading is resumed when the last part has been taken, so that a slow caller has at most one
        part in hand beside the buffer.
        """
        while True:
            if not self.parser.response.body:
                self._resume()
            await self._until(self._has_data)
            data = self.parser.response.take_body()
            if not data:
                return
            yield data

    def may_skip(self, request_id: str) -> bool:
        """Return whether this is a late response, behind which the own one may still come.

        It must say itself where it ends and name a request that this connection has carried:
        otherwise the own response could be read from the middle of other data.
        """
        sized = self.parser.response.sized and not self.parser.bodiless
        return sized and request_id in self._earlier_ids and not self.parser.skipped_count

    async def skip(self) -> None:
        """Pass over this response and wait for the headers of the next one.

        Raises ``ServerLost`` if the connection breaks or the response is too long.
        """
        skipped_bytes = 0
        async for chunk in self.chunks():
            skipped_bytes += len(chunk)
            if skipped_bytes > MAX_SKIPPED_BYTES:
                raise ResponseTooLong('late response', skipped_bytes, MAX_SKIPPED_BYTES)
        self.parser.skip()
        self._resume()
        await self.head()

    def take(self, data: bytes | memoryview) -> bool:
        """Parse received bytes of the response; return False if nothing more can be read."""
        self._failure = self._failure or self.parser.feed(data)
        if self.parser.buffered_bytes > MAX_BUFFERED_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake()
        return self._failure is None

    def end(self) -> None:
        """Handle the end of the connection, which ends a response without a length."""
        if not self.parser.end():
            self.fail('the connection closed')
        self._wake()

    def fail(self, reason: str) -> None:
        """Fail an incomplete response."""
        self._failure = self._failure or ServerLost(reason)
        self._wake()

    async def _until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            if self._failure is not None:
                raise self._failure
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            self._transport.resume_reading()

    def _has_headers(self) -> bool:
        return self.parser.response.has_headers

    def _has_data(self) -> bool:
        response = self.parser.response
        return bool(response.body) or response.complete

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(
    address: str, within_s: float = CONNECT_S, traffic: Traffic | None = None
) -> ServerConnection:
    """Connect to "ip:port"; raise ``ServerRefused`` if refused, else ``NeverSent`` on errors."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(within_s):
            _, connection = await loop.create_connection(
                partial(ServerConnection, traffic), host, int(port)
            )
    except ConnectionRefusedError as error:
        raise ServerRefused(f'{address} refuses connections') from error
    except (OSError, OverflowError, ValueError) as error:
        # An address without a port, with one out of range or with an impossible host included.
        raise NeverSent(f'{type(error).__name__} {error}'.strip()) from error
    return connection


def _unacknowledged_bytes(descriptor: int) -> int:
    try:
        unsent = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return 0
    return int(_INT.unpack(unsent)[0])


def _readable(descriptor: int) -> bool:
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))
