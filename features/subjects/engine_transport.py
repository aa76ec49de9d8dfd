"""An httpx transport that streams from an ASGI application in the same process.

``httpx.ASGITransport`` collects the complete response first, so that it supports neither streams
nor interrupted responses.
"""

from collections.abc import AsyncIterator
from typing import Any

import anyio
import httpx


class AppTransport(httpx.AsyncBaseTransport):
    """Runs the application as a task for each request, until it is closed."""

    def __init__(self, app: Any, tasks: anyio.abc.TaskGroup) -> None:
        """Start the tasks in ``tasks``."""
        self._app = app
        self._tasks = tasks
        self.refuses_connections = False
        self.requests: list[httpx.Request] = []

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Pass a request to the application and return its streaming response."""
        await anyio.sleep(0)
        if self.refuses_connections:
            raise httpx.ConnectError('connection refused')
        self.requests.append(request)
        exchange = Exchange(request, await request.aread())
        self._tasks.start_soon(exchange.serve, self._app)
        await exchange.begun.wait()
        if exchange.status == 0:
            raise httpx.RemoteProtocolError('closed before an answer')
        return httpx.Response(exchange.status, headers=exchange.headers, stream=exchange)


class Exchange(httpx.AsyncByteStream):
    """One request and its response."""

    def __init__(self, request: httpx.Request, body: bytes) -> None:
        """Initialize with the request for the application."""
        self.begun = anyio.Event()
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self._request = request
        self._body = body
        self._received = False
        self._gone = anyio.Event()
        pair = anyio.create_memory_object_stream[bytes](1000)
        self._send_piece = pair[0]
        self._pieces = pair[1]
        self._broken = False

    async def serve(self, app: Any) -> None:
        """Run the application for this request."""
        url = self._request.url
        scope = {
            'type': 'http', 'method': self._request.method, 'path': url.path,
            'query_string': url.query, 'headers': list(self._request.headers.raw),
        }  # fmt: skip
        scope['headers'] = [(name.lower(), text) for name, text in scope['headers']]
        try:
            await app(scope, self._receive, self._send)
        except Exception:
            self._broken = True
        finally:
            self.begun.set()
            self._send_piece.close()

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the parts of the response body."""
        async for piece in self._pieces:
            yield piece
        if self._broken:
            raise httpx.RemoteProtocolError('the peer closed the connection')

    async def aclose(self) -> None:
        """Close the connection and notify the application."""
        self._gone.set()

    async def _receive(self) -> dict[str, Any]:
        if not self._received:
            self._received = True
            return {'type': 'http.request', 'body': self._body, 'more_body': False}
        await self._gone.wait()
        return {'type': 'http.disconnect'}

    async def _send(self, message: dict[str, Any]) -> None:
        if message['type'] == 'http.response.start':
            self.status = message['status']
            self.headers = message['headers']
            self.begun.set()
        elif message.get('body'):
            await self._send_piece.send(message['body'])
