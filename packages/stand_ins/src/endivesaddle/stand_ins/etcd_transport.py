"""Reach ASGI applications through ``httpx`` without sockets, in virtual time.

``httpx.ASGITransport`` gives an answer only when it is whole; watches never are.
Hosts stand for the URLs of a store: each may refuse connections or fall silent.
"""

import asyncio
from collections.abc import AsyncIterator, Mapping
from typing import Any

import anyio
import httpx

DELAY_S = 0.0005
_END = object()


class AsgiTransport(httpx.AsyncBaseTransport):
    """Applications by host; faults are switched by attributes, never by chance."""

    def __init__(self, apps: Mapping[str, Any]) -> None:
        """Start without faults."""
        self._apps = apps
        self.refused: set[str] = set()
        self.silent: set[str] = set()
        self.silent_calls = 0

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Carry one request and the head of its answer."""
        await anyio.sleep(DELAY_S)
        host = request.url.host
        if host in self.refused:
            raise httpx.ConnectError(f'{host} refused the connection')
        if host in self.silent or self._swallowed():
            await anyio.sleep_forever()
        exchange = Exchange(await request.aread())
        exchange.start(self._apps[host], _scope(request))
        try:
            head = await exchange.answers.get()
        except asyncio.CancelledError:
            exchange.stop()
            raise
        if head is _END:
            raise httpx.RemoteProtocolError(f'{host} closed the connection')
        return httpx.Response(head['status'], headers=head['headers'], stream=exchange)

    def _swallowed(self) -> bool:
        # An open connection that is silent takes one call with it: it is closed then.
        self.silent_calls -= 1
        return self.silent_calls >= 0


class Exchange(httpx.AsyncByteStream):
    """One request and its answer, produced by a task of its own."""

    def __init__(self, body: bytes) -> None:
        """Take the body of the request."""
        self._body = body
        self._received = False
        self._whole = False
        self.answers: asyncio.Queue[Any] = asyncio.Queue()

    def start(self, app: Any, scope: dict[str, Any]) -> None:
        """Have the application answer."""
        self._task = asyncio.get_running_loop().create_task(self._run(app, scope))

    def stop(self) -> None:
        """Have it stop: nobody takes the answer."""
        self._task.cancel()

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the body of the answer; raises when it breaks off."""
        while not self._whole:
            message = await self.answers.get()
            if message is _END:
                raise httpx.RemoteProtocolError('the answer broke off')
            self._whole = not message.get('more_body', False)
            yield message.get('body', b'')

    async def aclose(self) -> None:
        """Stop the application if it still answers."""
        self.stop()

    async def _run(self, app: Any, scope: dict[str, Any]) -> None:
        try:
            await app(scope, self._receive, self.answers.put)
        finally:
            self.answers.put_nowait(_END)

    async def _receive(self) -> dict[str, Any]:
        if self._received:
            await anyio.sleep_forever()
        self._received = True
        return {'type': 'http.request', 'body': self._body, 'more_body': False}


def _scope(request: httpx.Request) -> dict[str, Any]:
    return {
        'type': 'http',
        'method': request.method,
        'path': request.url.path,
        'query_string': request.url.query,
        'headers': [(name.lower(), value) for name, value in request.headers.raw],
    }
