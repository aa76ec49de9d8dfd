"""Connections to a store over transports of ``httpx``, without sockets."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import httpx

from endivesaddle.backend_servers.connection_pool import OutgoingRequest
from endivesaddle.fleet.interfaces import NeverSent, ServerLost


class HttpxResponse:
    """A response from a transport."""

    def __init__(self, response: httpx.Response) -> None:
        """Read ``response``."""
        self.status = response.status_code
        self._response = response

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        try:
            async for chunk in self._response.aiter_raw():
                yield chunk
        except httpx.HTTPError as error:
            raise ServerLost(str(error)) from error


class HttpxLinks:
    """The connections of one transport."""

    def __init__(self, transport: httpx.AsyncBaseTransport) -> None:
        """Send over ``transport``."""
        self._transport = transport

    @asynccontextmanager
    async def exchange(
        self, lifetime: str, address: str, request: OutgoingRequest
    ) -> AsyncIterator[HttpxResponse]:
        """Send a request and yield its response."""
        sent = httpx.Request(
            request.method,
            f'http://{address}{request.target}',
            headers=[pair for pair in request.headers() if pair[0] != b'content-length'],
            content=request.body,
        )
        try:
            response = await self._transport.handle_async_request(sent)
        except httpx.ConnectError as error:
            raise NeverSent(str(error)) from error
        except httpx.HTTPError as error:
            raise ServerLost(str(error)) from error
        try:
            yield HttpxResponse(response)
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()
