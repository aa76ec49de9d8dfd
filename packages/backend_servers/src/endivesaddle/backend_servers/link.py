"""HTTP exchanges with a backend server, with time-outs on each wait.

Connections are not reused.  If one failed silently while idle, the next request on it would be
lost, and it would be unknown whether it ran; a new connection to a neighbour costs well under a
millisecond.
"""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import anyio
import httpx

from endivesaddle.backend_servers.settings import BackendSettings
from endivesaddle.fleet.clock import Clock, left_s
from endivesaddle.fleet.interfaces import NeverSent, ServerLost

Pairs = Sequence[tuple[str, str]]
"""Headers as pairs of name and value; names may repeat."""
CLOSE_S = 1.0
HOP_BY_HOP = frozenset(
    (
        'connection', 'host', 'keep-alive', 'proxy-authenticate', 'proxy-authorization',
        'te', 'trailer', 'transfer-encoding', 'upgrade',
    )
)  # fmt: skip
"""Headers that apply to one connection only."""
NOT_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
    httpx.LocalProtocolError,
)
"""Errors that prove that the server did not get the request."""


class Link:
    """Sends requests to one backend server."""

    def __init__(
        self,
        settings: BackendSettings,
        url: str,
        clock: Clock,
        transport: httpx.AsyncBaseTransport | None,
    ) -> None:
        """Connect to the server at ``url``; ``transport`` replaces the network in tests."""
        self._settings = settings
        self._clock = clock
        self._http = httpx.AsyncClient(
            base_url=url,
            transport=transport,
            # Certificates are loaded only for HTTPS: they need megabytes of memory.
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

        Raises ``NeverSent`` or ``ServerLost``, also for connection errors in the body of the
        ``async with``.
        """
        try:
            response = await self._send(request, first_byte_unix_s)
        except NOT_SENT as error:
            raise NeverSent(_describe(error)) from error
        except httpx.HTTPError as error:
            raise ServerLost(_describe(error)) from error
        try:
            yield response
        except httpx.HTTPError as error:
            raise ServerLost(_describe(error)) from error
        finally:
            # Closing may send a TLS close to a peer that does not respond.
            with anyio.move_on_after(CLOSE_S, shield=True):
                await response.aclose()

    def build(self, method: str, path: str, headers: Pairs, body: bytes) -> httpx.Request:
        """Build a request without hop-by-hop headers."""
        kept = [
            (name.encode(), text.encode())
            for name, text in headers
            if name.lower() not in HOP_BY_HOP and name.lower() != 'content-length'
        ]
        return self._http.build_request(method, path, headers=kept, content=body)

    async def pieces(self, response: httpx.Response, silence_s: float) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; raise ``ServerLost`` after ``silence_s`` without data."""
        body = aiter(response.aiter_raw())
        while True:
            piece = await self._next_piece(body, self._clock.now_s() + silence_s)
            if piece is None:
                return
            yield piece

    async def close(self) -> None:
        """Close the client."""
        await self._http.aclose()

    async def _next_piece(self, body: AsyncIterator[bytes], deadline_unix_s: float) -> bytes | None:
        with anyio.move_on_after(left_s(self._clock, deadline_unix_s)):
            return await anext(body, None)
        raise ServerLost('no data within the time-out in the middle of a response')

    async def _send(self, request: httpx.Request, first_byte_unix_s: float) -> httpx.Response:
        with anyio.move_on_after(left_s(self._clock, first_byte_unix_s)):
            return await self._http.send(request, stream=True)
        raise ServerLost('no response began in time')


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'
