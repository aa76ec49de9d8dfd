"""Kept connections to the servers that requests are forwarded to, byte for byte.

``httpcore`` is the part of ``httpx`` below its client: it sends a request
target as it came, where ``httpx`` would quote it anew, and lets this side
choose the connection.  Each server has its own idle connections; the one used
last is used first, so that the fewest stay open.
"""

import socket
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import anyio
import httpcore

from endivesaddle.fleet.seams import NeverSent, ServerLeft, ServerLost

RawHeaders = Sequence[tuple[bytes, bytes]]

CONNECT_S = 1.0
"""A connection that takes longer counts as refused: neighbours answer in milliseconds."""
IDLE_S = 3.0
"""An idle connection is used again for so long; servers close theirs after more than 4 s."""
UNACKED_MS = 1200
"""Sent bytes that stay unacknowledged for longer break the connection.

Failure: a connection goes silent for good, and what was sent on it hangs until
the request's deadline.  Lost packets are sent again within 0.2 to 0.6 s, so that
a link with losses keeps its connections."""
PROBE_S = 1
"""A connection that waits for an answer is probed each second, and broken by two misses."""

BEFORE_SENDING = 'http11.send_request_headers.started'
"""The library's name for the moment between connecting and sending."""
NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.LocalProtocolError)
BROKEN = (httpcore.NetworkError, httpcore.RemoteProtocolError, httpcore.TimeoutException)

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)


class Forwarded(NamedTuple):
    """A request as it is sent: target and headers are bytes as they came.

    ``admitted`` is asked right before: does the server still take requests?
    """

    method: str
    target: str
    headers: RawHeaders
    body: bytes
    admitted: Callable[[], bool]


class KeptLinks:
    """Idle connections by server; one life of a server shares nothing with the next."""

    def __init__(self, network: httpcore.AsyncNetworkBackend | None = None) -> None:
        """Start without any; ``network`` replaces the sockets in tests."""
        self._network = network
        self._idle: dict[str, list[httpcore.AsyncHTTPConnection]] = {}
        self.opened_count = 0

    @asynccontextmanager
    async def exchange(
        self, lifetime: str, address: str, request: Forwarded
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and give its answer; the connection is kept if both ended well.

        Raises ``NeverSent`` where the server did not get it, ``ServerLost``
        where it may have run.
        """
        connection = await self._taken(lifetime, address)
        try:
            async with self._open(connection, address, request) as response:
                yield response
        finally:
            await self._returned(lifetime, connection)

    async def drop(self, lifetime: str) -> None:
        """Close the idle connections to a server that is gone."""
        for connection in self._idle.pop(lifetime, []):
            await connection.aclose()

    def lifetimes(self) -> set[str]:
        """Return the servers with idle connections."""
        return set(self._idle)

    async def _taken(self, lifetime: str, address: str) -> httpcore.AsyncHTTPConnection:
        idle = self._idle.get(lifetime, [])
        while idle:
            connection = idle.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
            await connection.aclose()
        host, _, port = address.rpartition(':')
        self.opened_count += 1
        return httpcore.AsyncHTTPConnection(
            httpcore.Origin(b'http', host.encode(), int(port)),
            keepalive_expiry=IDLE_S,
            socket_options=_SOCKET_OPTIONS,
            network_backend=self._network,
        )

    @asynccontextmanager
    async def _open(
        self, connection: httpcore.AsyncHTTPConnection, address: str, request: Forwarded
    ) -> AsyncIterator[httpcore.Response]:
        response = await self._sent(connection, address, request)
        try:
            yield response
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()

    async def _sent(
        self, connection: httpcore.AsyncHTTPConnection, address: str, request: Forwarded
    ) -> httpcore.Response:
        extensions: dict[str, Any] = {'timeout': {'connect': CONNECT_S}}
        if connection.is_idle():
            _check(request)
        else:
            extensions['trace'] = _Gate(request)
        host, _, port = address.rpartition(':')
        url = httpcore.URL(
            scheme=b'http', host=host.encode(), port=int(port), target=request.target.encode()
        )
        sent = httpcore.Request(
            request.method,
            url,
            headers=list(request.headers),
            content=request.body,
            extensions=extensions,
        )
        try:
            return await connection.handle_async_request(sent)
        except NOT_SENT as error:
            raise NeverSent(error_text(error)) from error
        except BROKEN as error:
            raise ServerLost(error_text(error)) from error

    async def _returned(self, lifetime: str, connection: httpcore.AsyncHTTPConnection) -> None:
        if connection.is_idle() and not connection.has_expired():
            self._idle.setdefault(lifetime, []).append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()


class _Gate:
    """Looks again before a request goes out on a new connection, which may take a second.

    Failure: the server was chosen in time, left while the connection was made, and got the
    request up to 1 s after it should have had none.
    """

    def __init__(self, request: Forwarded) -> None:
        """Look for ``request``."""
        self._request = request

    async def __call__(self, event: str, facts: dict[str, Any]) -> None:
        """Take one event of the library's trace of a request."""
        if event == BEFORE_SENDING:
            _check(self._request)


def _check(request: Forwarded) -> None:
    if not request.admitted():
        raise ServerLeft('the server leaves')


def error_text(error: Exception) -> str:
    """Name an error of the library, which often has no text."""
    return f'{type(error).__name__} {error}'.strip()
