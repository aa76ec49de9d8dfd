"""The ASGI applications for requests on routes and for health checks."""

from collections.abc import Callable, MutableMapping
from functools import partial
from http import HTTPStatus
from typing import Any, NamedTuple
from weakref import WeakSet

import anyio

from endivesaddle.callers import events
from endivesaddle.callers.exchange import CallerGone, Exchange, Receive, Send, serve_lifespan
from endivesaddle.callers.forward_metrics import ForwardMetrics
from endivesaddle.callers.forward_requests import read_head, read_request
from endivesaddle.callers.refusals import Invalid, error_body, refuse
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.overload.overload import Arrival, Overload
from endivesaddle.fleet.overload.traffic import PACKET_BYTES, CallerConnection
from endivesaddle.fleet.routes.caller_answer import refuse_unsent
from endivesaddle.fleet.routes.declaration_index import DeclarationIndex
from endivesaddle.fleet.routes.departures import Caller, Connection, SeenBy
from endivesaddle.fleet.routes.forwarded import ForwardRequest, Pairs
from endivesaddle.fleet.routes.header_names import LENGTH, HeaderNames
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routes.running import Runner
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal

JSON = 'application/json'
CLOSE = ('connection', 'close')
CONNECTION = 'endivesaddle.connection'
"""Key of a request's connection in its scope, where connections are counted."""
CALLER_SOCKET = 'endivesaddle.caller_socket'
"""Key in a request's scope of the object that tells whether its connection is closed."""
STARTING_RETRY_AFTER_S = 0.5
"""Retry-after of a router that doesn't know the declarations yet."""
OTHER_ROUTER_RETRY_AFTER_S = 0.05
"""Retry-after if another router can accept the request on a new connection at once."""
ALL_STOPPING_RETRY_AFTER_S = 2.0
"""Retry-after if all routers stop: the first one has restarted after about 2 s."""
_MS = 1000

_STARTING = Refusal(
    'starting',
    'this router has not loaded the declarations yet',
    NOT_RUN,
    HTTPStatus.SERVICE_UNAVAILABLE,
    STARTING_RETRY_AFTER_S,
)


class Stopping:
    """The state of a graceful stop: first no new connections, then no new requests."""

    def __init__(self, others_available: Callable[[], bool]) -> None:
        """Initialize as serving; ``others_available`` tells whether another router is available."""
        self.leaving = False
        self.refusing = False
        self._others_available = others_available

    def refusal(self) -> Refusal:
        """Return the refusal, with the time after which another router accepts the request.

        If all routers stop in turn, each before the previous one is back, a caller that
        retried at once would meet the next stopping router and have no further try.
        """
        retry_after_s = (
            OTHER_ROUTER_RETRY_AFTER_S if self._others_available() else ALL_STOPPING_RETRY_AFTER_S
        )
        reason = 'this router stops'
        status = HTTPStatus.SERVICE_UNAVAILABLE
        return Refusal('stopping', reason, NOT_RUN, status, retry_after_s)


class AsgiSink:
    """Sends an answer to one caller."""

    def __init__(self, exchange: Exchange, parts: 'ForwardParts') -> None:
        """Initialize for ``exchange``; the router's own answers include the request id."""
        request_id = exchange.headers.get(parts.header_names.request_id, '')
        self._exchange = exchange
        self._own = ((parts.header_names.request_id, request_id),) if request_id else ()
        self._parts = parts
        self._extra: Pairs = (CLOSE,) if parts.stopping.leaving else ()
        self.kind = 'none'
        self.connection: CallerConnection | None = None
        self.sent_bytes = 0

    async def start(self, status: int, headers: Pairs) -> None:
        """Send the head of a streamed answer."""
        self._count(status, '')
        await self._exchange.start(status, (*headers, *self._extra))

    async def write(self, data: bytes) -> None:
        """Send a part of the answer."""
        self.sent_bytes += len(data) + PACKET_BYTES
        await self._exchange.write(data)

    async def finish(self) -> None:
        """End the answer as complete."""
        await self._exchange.finish()

    async def reply(self, status: int, headers: Pairs, body: bytes) -> None:
        """Send the whole answer of a server."""
        self._count(status, '')
        self.sent_bytes += len(body)
        length = (LENGTH, str(len(body)))
        await self._exchange.start(status, (*headers, length, *self._extra))
        await self._exchange.finish(body)

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal by the router itself."""
        self._count(refusal.status, refusal.code)
        headers = [('content-type', JSON), *self._own, *self._extra]
        if refusal.retry_after_s:
            headers.append((self._parts.header_names.retry_after, str(refusal.retry_after_s)))
        await self._exchange.reply(refusal.status, error_body(refusal), headers)

    def _count(self, status: int, code: str) -> None:
        overload, connection = self._parts.overload, self.connection
        if overload is not None and connection is not None and not self._extra:
            self._extra = (CLOSE,) if overload.closes(connection) else ()
        elapsed_s = self._parts.clock.now_s() - self._exchange.began_unix_s
        self._parts.metrics.answered(self.kind, status, code, elapsed_s)


class ForwardParts(NamedTuple):
    """The dependencies of the application."""

    settings: CallersSettings
    header_names: HeaderNames
    routing_state: RoutingState
    runner: Runner
    clock: Clock
    metrics: ForwardMetrics
    stopping: Stopping
    overload: Overload | None = None


class ForwardApp:
    """Forwards requests on routes, each in its own task."""

    def __init__(self, parts: ForwardParts) -> None:
        """Initialize with its dependencies."""
        self._parts = parts
        self._running_count = 0
        self._sending: WeakSet[Connection] = WeakSet()

    async def __call__(self, scope: MutableMapping[str, Any], receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope['type'] == 'lifespan':
            await serve_lifespan(receive, send)
            return
        if scope['type'] != 'http':
            await send({'type': 'websocket.close'})
            return
        parts = self._parts
        exchange = Exchange(scope, receive, send, parts.settings, parts.clock.now_s())
        request_id = exchange.headers.get(parts.header_names.request_id, '')
        socket: Connection | None = scope.get(CALLER_SOCKET)
        caller = parts.runner.departures.caller(request_id, socket)
        self._running_count += 1
        try:
            await self._serve(exchange, caller, scope.get(CONNECTION))
        except CallerGone:
            caller.left(SeenBy.LISTENER)
        finally:
            self._running_count -= 1
            if socket is not None and socket.has_unsent():
                self._sending.add(socket)

    @property
    def open_count(self) -> int:
        """The number of requests without an answer, and of connections with unsent answers."""
        return self._running_count + sum(one.has_unsent() for one in self._sending)

    async def _serve(
        self, exchange: Exchange, caller: Caller, connection: CallerConnection | None
    ) -> None:
        parts = self._parts
        sink = AsgiSink(exchange, parts)
        sink.connection = connection
        request = self._admit(await self._read(exchange))
        if isinstance(request, Refusal):
            await refuse_unsent(caller.request_id, sink, request)
            return
        sink.kind = request.route.repeat.value
        async with anyio.create_task_group() as group:
            departed = partial(_departed, exchange, caller, group.cancel_scope)
            group.start_soon(_watch, exchange, departed)
            with caller.notifies(departed):
                await parts.runner.serve(request, sink, caller)
            group.cancel_scope.cancel()
        if parts.overload is not None:
            parts.overload.responded(request.route.name, sink.sent_bytes)

    def _admit(self, request: ForwardRequest | Refusal) -> ForwardRequest | Refusal:
        """Return the request, or its refusal by an overloaded router.

        It is called before anything is sent for the request, so that it has certainly not run.
        """
        overload = self._parts.overload
        if overload is None or isinstance(request, Refusal) or self._parts.stopping.leaving:
            return request
        route = request.route
        arrival = Arrival(
            request.request_id,
            route.name,
            request.urgency,
            len(request.body),
            route.goal_ms / _MS,
        )
        return overload.admit(arrival, self._parts.clock.now_s()) or request

    async def _read(self, exchange: Exchange) -> ForwardRequest | Refusal:
        parts = self._parts
        declarations = parts.routing_state.declarations
        if parts.stopping.refusing:
            return parts.stopping.refusal()
        if declarations is None:
            return _STARTING
        read = await self._checked(exchange, declarations)
        return refuse(read, no_earlier_attempt=True) if isinstance(read, Invalid) else read

    async def _checked(
        self, exchange: Exchange, declarations: DeclarationIndex
    ) -> ForwardRequest | Invalid:
        head = read_head(exchange, declarations)
        if isinstance(head, Invalid):
            return head
        body = await exchange.body(declarations.declared.limits.body_bytes)
        if isinstance(body, Invalid):
            return body
        return read_request(exchange, head, body, self._parts.header_names)


async def _watch(exchange: Exchange, departed: Callable[[], None]) -> None:
    await exchange.wait_disconnected()
    departed()


def _departed(exchange: Exchange, caller: Caller, scope: anyio.CancelScope) -> None:
    """Cancel the work for a caller that disconnected, as its result can't be delivered."""
    if not exchange.ending:
        caller.left(SeenBy.UNREAD_ANSWER if exchange.stalled else SeenBy.LISTENER)
    scope.cancel()


class ReadyApp:
    """Answers the platform's readiness checks."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        """Initialize; ``ready`` is called for each check."""
        self._ready = ready
        self._last_ready = False

    async def __call__(self, scope: MutableMapping[str, Any], receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope['type'] == 'lifespan':
            await serve_lifespan(receive, send)
            return
        ready = self._ready()
        if ready is not self._last_ready:
            self._last_ready = ready
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
