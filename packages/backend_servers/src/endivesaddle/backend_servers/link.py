"""One HTTP exchange with a backend server, with its silences bounded.

No connection is used twice.  One that went silent for good while it was idle
would swallow the next request, and whether that ran could not be told; a new
connection to a neighbour costs well under a millisecond.
"""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import anyio
import httpx

from endivesaddle.backend_servers.settings import BackendSettings
from endivesaddle.fleet.clock import Clock, left_s
from endivesaddle.fleet.interfaces import NeverSent, ServerLost

Pairs = Sequence[tuple[str, str]]
"""Headers: name and value, a name as often as it comes."""
CLOSE_S = 1.0
HOP_BY_HOP = frozenset(
    (
        'connection', 'host', 'keep-alive', 'proxy-authenticate', 'proxy-authorization',
        'te', 'trailer', 'transfer-encoding', 'upgrade',
    )
)  # fmt: skip
"""Headers that speak of one connection alone."""
NOT_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
    httpx.LocalProtocolError,
)
"""Errors after which the server certainly did not get the request."""


class Link:
    """Makes requests to one backend server."""

    def __init__(
        self,
        settings: BackendSettings,
        url: str,
        clock: Clock,
        transport: httpx.AsyncBaseTransport | None,
    ) -> None:
        """Reach the server at ``url``; ``transport`` replaces the network in tests."""
        self._settings = settings
        self._clock = clock
        self._http = httpx.AsyncClient(
            base_url=url,
            transport=transport,
            # Certificates are loaded only where they are used: they take megabytes.
            verify=url.startswith('https'),
            trust_env=False,
            timeout=httpx.Timeout(None, connect=settings.connect_s),
            limits=httpx.Limits(max_connections=None, max_keepalive_connections=0),
        )

    @asynccontextmanager
    async def exchange(
        self, request: httpx.Request, first_byte_unix_s: float
    ) -> AsyncIterator[httpx.Response]:
        """Send a request and yield its response, which is closed afterwards.

        Raises ``NeverSent`` or ``ServerLost``, also for what the body of the
        ``async with`` meets on the connection.
        """
        try:
            response = await self._send(request, first_byte_unix_s)
        except NOT_SENT as error:
            raise NeverSent(_told(error)) from error
        except httpx.HTTPError as error:
            raise ServerLost(_told(error)) from error
        try:
            yield response
        except httpx.HTTPError as error:
            raise ServerLost(_told(error)) from error
        finally:
            # Closing may say good-bye over TLS, to an end that has gone silent.
            with anyio.move_on_after(CLOSE_S, shield=True):
                await response.aclose()

    def build(self, method: str, path: str, headers: Pairs, body: bytes) -> httpx.Request:
        """Build a request; headers of one connection are left out."""
        kept = [
            (name.encode(), text.encode())
            for name, text in headers
            if name.lower() not in HOP_BY_HOP and name.lower() != 'content-length'
        ]
        return self._http.build_request(method, path, headers=kept, content=body)

    async def pieces(self, response: httpx.Response, silence_s: float) -> AsyncIterator[bytes]:
        """Yield the body as it comes; ``ServerLost`` when nothing came by a deadline."""
        body = aiter(response.aiter_raw())
        while True:
            piece = await self._next_piece(body, self._clock.now_s() + silence_s)
            if piece is None:
                return
            yield piece

    async def close(self) -> None:
        """Close the client."""
        await self._http.aclose()

    async def _next_piece(self, body: AsyncIterator[bytes], quiet_unix_s: float) -> bytes | None:
        with anyio.move_on_after(left_s(self._clock, quiet_unix_s)):
            return await anext(body, None)
        raise ServerLost('the connection fell silent within an answer')

    async def _send(self, request: httpx.Request, first_byte_unix_s: float) -> httpx.Response:
        with anyio.move_on_after(left_s(self._clock, first_byte_unix_s)):
            return await self._http.send(request, stream=True)
        raise ServerLost('no answer began in time')


def _told(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'
