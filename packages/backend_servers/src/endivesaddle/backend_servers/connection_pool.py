"""Pool of connections to the servers to which requests are forwarded unchanged.

Each server has its own idle connections.  The most recently used one is reused first, so that as
few as possible stay open.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from typing import NamedTuple

from endivesaddle.backend_servers.server_connection import (
    RawResponse,
    ServerConnection,
    connect,
)
from endivesaddle.fleet.interfaces import NeverSent, ReportLost, ServerLeft

RawHeaders = Sequence[tuple[bytes, bytes]]
Connect = Callable[[str], Awaitable[ServerConnection]]
Prove = Callable[[ServerConnection], Awaitable[None]]

IDLE_S = 3.0
"""Idle time-out of a connection if its server does not state one."""
CLOSE_MARGIN_S = 0.5
"""Margin subtracted from a server's keep-alive time, so that a request is not sent while the
server closes the connection."""
BODILESS = 'HEAD'


class OutgoingRequest(NamedTuple):
    """A request to send; the target is that which was received.

    ``headers`` returns them as of now: a deadline among them says how much time is left.
    ``may_send`` is called right before sending: does the server still accept requests?  What it
    raises is passed on; the request is not sent then.  ``request_id`` identifies the request in
    responses, '' if they don't name it.  ``prove`` proves before sending that a connection leads to
    the right server; it raises ``NeverSent`` if not.
    """

    method: str
    target: str
    headers: Callable[[], RawHeaders]
    body: bytes
    may_send: Callable[[], bool]
    request_id: str = ''
    prove: Prove | None = None

    def encoded(self) -> bytes:
        """Return its bytes; raise ``NeverSent`` if a header contains a line break."""
        lines = [f'{self.method} {self.target} HTTP/1.1'.encode('latin-1')]
        lines.extend(b'%s: %s' % pair for pair in self.headers())
        head = b'\r\n'.join(lines)
        breaks = len(lines) - 1
        if (head.count(b'\n'), head.count(b'\r'), head.count(b'\0')) != (breaks, breaks, 0):
            raise NeverSent('a header contains a line break or a null byte')
        return b'%s\r\n\r\n%s' % (head, self.body)


class ConnectionPool:
    """Idle connections by server; incarnations of a server share no connections."""

    def __init__(self, connect_to: Connect = connect, idle_s: float = IDLE_S) -> None:
        """Initialize empty; ``connect_to`` opens connections, in tests without sockets.

        ``idle_s`` applies if a server does not say how long it keeps a connection.
        """
        self._connect = connect_to
        self._idle_s = idle_s
        self._idle: dict[str, list[ServerConnection]] = {}
        self.opened_count = 0

    @asynccontextmanager
    async def exchange(
        self, lifetime: str, address: str, request: OutgoingRequest
    ) -> AsyncIterator[RawResponse]:
        """Send a request and yield its response; a connection in a clean state is kept.

        Raises ``NeverSent`` if the server did not get the request, ``ServerLost`` if it may have
        run.
        """
        connection = await self._acquire_proven(lifetime, address, request.prove)
        try:
            response = _send(connection, request)
            await response.head()
            yield response
        finally:
            self._release(lifetime, connection)

    async def check(self, lifetime: str, address: str) -> None:
        """Connect and keep the connection; raise ``NeverSent`` or ``ServerRefused`` on errors."""
        self._release(lifetime, await self._open(address))

    def drop(self, lifetime: str) -> None:
        """Close the idle connections to a server that is gone."""
        for connection in self._idle.pop(lifetime, []):
            connection.abort()

    def lifetimes(self) -> set[str]:
        """Return the servers with idle connections."""
        return set(self._idle)

    async def _acquire_proven(
        self, lifetime: str, address: str, prove: Prove | None
    ) -> ServerConnection:
        if prove is None:
            return await self._acquire(lifetime, address)
        connection = await self._acquire(lifetime, address)
        if await self._proves(lifetime, connection, prove):
            return connection
        # Servers close some kept connections as they are asked, and some behind a report.
        connection.abort()
        connection = await self._open(address)
        if await self._proves(lifetime, connection, prove):
            return connection
        connection.abort()
        raise NeverSent('the connections of the server end before or after a report')

    async def _proves(self, lifetime: str, connection: ServerConnection, prove: Prove) -> bool:
        """Return whether a connection is proven and usable; raise ``NeverSent`` if disproved."""
        try:
            await prove(connection)
        except ReportLost:
            return False
        except BaseException:
            self._release(lifetime, connection)
            raise
        return connection.idle()

    async def _acquire(self, lifetime: str, address: str) -> ServerConnection:
        idle = self._idle.get(lifetime, [])
        now_s = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            if connection.idle_until_s > now_s and connection.idle():
                return connection
            connection.abort()
        return await self._open(address)

    async def _open(self, address: str) -> ServerConnection:
        self.opened_count += 1
        return await self._connect(address)

    def _release(self, lifetime: str, connection: ServerConnection) -> None:
        connection.end_exchange()
        if connection.idle():
            idle_s = (
                connection.keep_alive_s - CLOSE_MARGIN_S
                if connection.keep_alive_s
                else self._idle_s
            )
            connection.idle_until_s = asyncio.get_running_loop().time() + idle_s
            self._idle.setdefault(lifetime, []).append(connection)
        else:
            connection.abort()


def _send(connection: ServerConnection, request: OutgoingRequest) -> RawResponse:
    """Send a request on a connection, which may have taken seconds to make."""
    encoded = request.encoded()
    # The server may have started to leave meanwhile.
    if not request.may_send():
        raise ServerLeft('the server accepts no more requests')
    return connection.send(encoded, request.method == BODILESS, request.request_id)
