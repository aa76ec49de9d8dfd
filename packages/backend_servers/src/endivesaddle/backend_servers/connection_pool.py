"""Kept connections to the servers that requests are forwarded to, byte for byte.

Each server has its own idle connections; the one used last is used first, so that the fewest
stay open.
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
from endivesaddle.fleet.interfaces import NeverSent, ServerLeft

RawHeaders = Sequence[tuple[bytes, bytes]]
Connect = Callable[[str], Awaitable[ServerConnection]]

IDLE_S = 3.0
"""An idle connection is used again for so long where its server does not say how long it stays."""
CLOSE_MARGIN_S = 0.5
"""Of the time that a server says, the last is not used: a request must not meet its closing."""
BODILESS = 'HEAD'


class OutgoingRequest(NamedTuple):
    """A request as it is sent: target and headers are bytes as they came.

    ``may_send`` is asked right before: does the server still take requests?
    """

    method: str
    target: str
    headers: RawHeaders
    body: bytes
    may_send: Callable[[], bool]

    def encoded(self) -> bytes:
        """Return its bytes; raises ``NeverSent`` for a header that would end its line early."""
        lines = [f'{self.method} {self.target} HTTP/1.1'.encode('latin-1')]
        lines.extend(b'%s: %s' % pair for pair in self.headers)
        head = b'\r\n'.join(lines)
        breaks = len(lines) - 1
        if (head.count(b'\n'), head.count(b'\r'), head.count(b'\0')) != (breaks, breaks, 0):
            raise NeverSent('a header holds the end of a line')
        return b'%s\r\n\r\n%s' % (head, self.body)


class ConnectionPool:
    """Idle connections by server; one life of a server shares nothing with the next."""

    def __init__(self, connect_to: Connect = connect, idle_s: float = IDLE_S) -> None:
        """Start without any; ``connect_to`` makes them, tests without sockets.

        ``idle_s`` counts where a server does not say how long it keeps a connection.
        """
        self._connect = connect_to
        self._idle_s = idle_s
        self._idle: dict[str, list[ServerConnection]] = {}
        self.opened_count = 0

    @asynccontextmanager
    async def exchange(
        self, lifetime: str, address: str, request: OutgoingRequest
    ) -> AsyncIterator[RawResponse]:
        """Send a request and give its answer; the connection is kept if both ended well.

        Raises ``NeverSent`` where the server did not get it, ``ServerLost``
        where it may have run.
        """
        encoded = request.encoded()
        connection = await self._acquire(lifetime, address)
        try:
            # Looked at again when the connection is there, which may take a second.
            # Failure: the server was chosen in time, left or asked for nothing meanwhile, and
            # got the request up to 1 s after it should have had none.
            if not request.may_send():
                raise ServerLeft('the server takes no more requests')
            response = connection.send(encoded, request.method == BODILESS)
            await response.head()
            yield response
        finally:
            self._release(lifetime, connection)

    async def check(self, lifetime: str, address: str) -> None:
        """Connect, and keep the connection; raises ``NeverSent``, also as ``ServerRefused``."""
        self._release(lifetime, await self._open(address))

    def drop(self, lifetime: str) -> None:
        """Close the idle connections to a server that is gone."""
        for connection in self._idle.pop(lifetime, []):
            connection.abort()

    def lifetimes(self) -> set[str]:
        """Return the servers with idle connections."""
        return set(self._idle)

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
        if connection.idle():
            stays_s = connection.kept_s - CLOSE_MARGIN_S if connection.kept_s else self._idle_s
            connection.idle_until_s = asyncio.get_running_loop().time() + stays_s
            self._idle.setdefault(lifetime, []).append(connection)
        else:
            connection.abort()
