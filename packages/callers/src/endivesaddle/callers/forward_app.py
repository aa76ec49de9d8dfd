"""The ASGI application for requests on routes, and the one for health checks."""

from collections.abc import Callable, MutableMapping
from http import HTTPStatus
from typing import Any, NamedTuple

import anyio

from endivesaddle.callers import events
from endivesaddle.callers.exchange import CallerGone, Exchange, Receive, Send
from endivesaddle.callers.forward_requests import read_head, read_request
from endivesaddle.callers.metrics import Metrics
from endivesaddle.callers.refusals import Invalid, error_body, refuse
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes import run_events
from endivesaddle.fleet.routes.book import RouteBook
from endivesaddle.fleet.routes.dialect import LENGTH, Dialect
from endivesaddle.fleet.routes.forwarded import ForwardRequest, Pairs
from endivesaddle.fleet.routes.known import Known
from endivesaddle.fleet.routes.running import Runner
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal

JSON = 'application/json'
CLOSE = ('connection', 'close')
STARTING_AGAIN_S = 0.5
"""A router that knows no declarations yet, or stops, asks callers back after this."""

_STARTING = Refusal(
    'starting',
    'this router does not know the declarations yet',
    NOT_RUN,
    HTTPStatus.SERVICE_UNAVAILABLE,
    STARTING_AGAIN_S,
)
_STOPPING = Refusal(
    'stopping',
    'this router stops',
    NOT_RUN,
    HTTPStatus.SERVICE_UNAVAILABLE,
    STARTING_AGAIN_S,
)


class Stopping:
    """Whether this router stops: first no new connections, then no new requests."""

    def __init__(self) -> None:
        """Start serving."""
        self.leaving = False
        self.refusing = False


class AsgiSink:
    """The way back to one caller."""

    def __init__(self, exchange: Exchange, own: Pairs, retry_after: str, metrics: Metrics) -> None:
        """Add the headers ``own`` to answers of the router itself."""
        self._exchange = exchange
        self._own = own
        self._retry_after = retry_after
        self._metrics = metrics
        self.extra: Pairs = ()

    async def start(self, status: int, headers: Pairs) -> None:
        """Send the head of a streamed answer."""
        self._metrics.answered(status)
        await self._exchange.start(status, (*headers, *self.extra))

    async def write(self, data: bytes) -> None:
        """Send a part of it."""
        await self._exchange.write(data)

    async def finish(self) -> None:
        """End it as complete."""
        await self._exchange.finish()

    async def reply(self, status: int, headers: Pairs, body: bytes) -> None:
        """Send a whole answer of a server."""
        self._metrics.answered(status)
        length = (LENGTH, str(len(body)))
        await self._exchange.start(status, (*headers, length, *self.extra))
        await self._exchange.finish(body)

    async def refuse(self, refusal: Refusal) -> None:
        """Send an answer of the router's own."""
        self._metrics.refused(refusal.code)
        headers = [('content-type', JSON), *self._own, *self.extra]
        if refusal.retry_after_s:
            headers.append((self._retry_after, str(refusal.retry_after_s)))
        await self._exchange.reply(refusal.status, error_body(refusal), headers)


class ForwardParts(NamedTuple):
    """What the application works with."""

    settings: CallersSettings
    dialect: Dialect
    known: Known
    runner: Runner
    clock: Clock
    metrics: Metrics
    stopping: Stopping


class ForwardApp:
    """Forward requests on routes: one task for each."""

    def __init__(self, parts: ForwardParts) -> None:
        """Serve with ``parts``."""
        self._parts = parts
        self.open_count = 0

    async def __call__(self, scope: MutableMapping[str, Any], receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope['type'] == 'lifespan':
            await live(receive, send)
            return
        if scope['type'] != 'http':
            await send({'type': 'websocket.close'})
            return
        parts = self._parts
        exchange = Exchange(scope, receive, send, parts.settings, parts.clock.now_s())
        self.open_count += 1
        try:
            await self._serve(exchange)
        except CallerGone:
            run_events.GONE.log(request_id=exchange.headers.get(parts.dialect.request_id, ''))
        finally:
            self.open_count -= 1

    async def _serve(self, exchange: Exchange) -> None:
        parts = self._parts
        sink = self._sink(exchange)
        request = await self._read(exchange)
        if isinstance(request, Refusal):
            run_events.REFUSED.log(
                request_id=exchange.headers.get(parts.dialect.request_id, ''),
                code=request.code,
                reason=request.reason,
            )
            await sink.refuse(request)
            return
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch, exchange, request, group.cancel_scope)
            with parts.metrics.open_request():
                await parts.runner.serve(request, sink)
            group.cancel_scope.cancel()

    async def _watch(
        self, exchange: Exchange, request: ForwardRequest, scope: anyio.CancelScope
    ) -> None:
        """End the work when the caller leaves: nobody would get what it brings."""
        await exchange.gone()
        if not exchange.ending:
            run_events.GONE.log(request_id=request.request_id)
        scope.cancel()

    async def _read(self, exchange: Exchange) -> ForwardRequest | Refusal:
        parts = self._parts
        book = parts.known.book
        if parts.stopping.refusing:
            return _STOPPING
        if book is None:
            return _STARTING
        read = await self._checked(exchange, book)
        return refuse(read, alone=True) if isinstance(read, Invalid) else read

    async def _checked(self, exchange: Exchange, book: RouteBook) -> ForwardRequest | Invalid:
        head = read_head(exchange, book)
        if isinstance(head, Invalid):
            return head
        body = await exchange.body(book.declared.limits.body_bytes)
        if isinstance(body, Invalid):
            return body
        return read_request(exchange, head, body, self._parts.dialect)

    def _sink(self, exchange: Exchange) -> AsgiSink:
        dialect = self._parts.dialect
        request_id = exchange.headers.get(dialect.request_id, '')
        own = ((dialect.request_id, request_id),) if request_id else ()
        sink = AsgiSink(exchange, own, dialect.retry_after, self._parts.metrics)
        if self._parts.stopping.leaving:
            sink.extra = (CLOSE,)
        return sink


class ReadyApp:
    """Answer the platform's question whether this router takes requests."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        """Ask ``ready`` each time."""
        self._ready = ready
        self._was = False

    async def __call__(self, scope: MutableMapping[str, Any], receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope['type'] == 'lifespan':
            await live(receive, send)
            return
        ready = self._ready()
        if ready is not self._was:
            self._was = ready
            events.READINESS.log(ready=ready)
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [(b'content-length', b'0')],
            }
        )
        await send({'type': 'http.response.body', 'body': b''})


async def live(receive: Receive, send: Send) -> None:
    """Answer the server's lifespan messages."""
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return
