"""The HTTP listeners of a forwarding router, under the limits that are declared.

``uvicorn`` with ``httptools`` serves here instead of ``hypercorn``, whose parser is Python: an
event of a stream took a router 0.165 ms with it and 0.133 ms so, processor time, one run each
(``tools/bench forward``).  Only uvicorn's protocol is used; its server would take signals.
"""

import asyncio
import logging
import math
import select
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskStatus
from uvicorn.config import Config
from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
    RequestResponseCycle,
)
from uvicorn.server import ServerState

from endivesaddle.callers.forward_app import CALLER_SOCKET, CONNECTION
from endivesaddle.callers.listening import listen
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.daemon import events
from endivesaddle.fleet.overload.traffic import PACKET_BYTES, CallerConnection, Traffic
from endivesaddle.fleet.routes.declared import RequestLimits
from endivesaddle.fleet.routes.routing_state import RoutingState

SETTLED_S = 0.5
"""Connections that are still open at the end of a stop are closed within this."""
LOOK_S = 0.02
FULL_LOG_S = 10.0
"""Least time between two lines about connections that are closed unread."""
PAUSED_CHECK_S = 0.1
"""Interval of checks for a close on a connection that is not read."""
_MS = 1000
_CODING = b'transfer-encoding'
_TOO_LONG = b'%scontent-length: 0\r\nconnection: close\r\n\r\n' % STATUS_LINE[431]

# What it would tell is told by numbered events: a stream that breaks off on purpose is an error to
# it, and each line of a caller's bad bytes would be one here.
logging.getLogger('uvicorn.error').setLevel(logging.CRITICAL)


class CallerSocket:
    """Tells whether a caller has closed its connection, also if that has not been read yet."""

    def __init__(self, transport: asyncio.Transport) -> None:
        """Look at the socket of ``transport``."""
        self._transport = transport
        self._notify: Callable[[], None] | None = None

    def closed(self) -> bool:
        """Return whether the caller has closed or reset its connection."""
        if self._transport.is_closing():
            return True
        hung_up = select.poll()
        # Errors and resets are reported whichever events are asked for.
        hung_up.register(self._transport.get_extra_info('socket').fileno(), select.POLLRDHUP)
        return bool(hung_up.poll(0))

    def has_unsent(self) -> bool:
        """Return whether the transport holds data that the system has not accepted yet."""
        return self._transport.get_write_buffer_size() > 0

    def subscribe(self, notify: Callable[[], None]) -> None:
        """Call ``notify`` when the close has been read; it replaces the previous one."""
        self._notify = notify

    def unsubscribe(self, notify: Callable[[], None]) -> None:
        """Don't call ``notify`` any more; a later request may have replaced it already."""
        if self._notify is notify:
            self._notify = None

    def close_read(self) -> None:
        """Notify the request that is running."""
        if self._notify is not None:
            self._notify()


class BoundedHttp(HttpToolsProtocol):
    """One connection of a caller, within the limits that were declared when it was opened."""

    def __init__(self, limits: RequestLimits, **parts: Any) -> None:
        """Serve as uvicorn does; ``limits`` bound heads and silence."""
        super().__init__(**parts)
        self.timeout_keep_alive = math.ceil(limits.idle_ms / _MS)
        self._most_bytes = limits.header_bytes
        self._head_bytes = 0
        self._running: RequestResponseCycle | None = None
        self._caller_socket: CallerSocket

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Close a connection on which nothing is sent, too: it would keep its descriptor."""
        super().connection_made(transport)
        self._caller_socket = CallerSocket(transport)
        self.timeout_keep_alive_task = self.loop.call_later(
            self.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def eof_received(self) -> None:
        """Notify the running request at once.

        The transport reports the close in a later turn of the event loop, and each task on the way
        to the server's connection would add a turn, which is long in a busy process.
        """
        self._caller_socket.close_read()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the running request; uvicorn notifies only the last one that was received."""
        self._caller_socket.close_read()
        if self._running is not None and not self._running.response_complete:
            self._running.disconnected = True
            self._running.message_event.set()
        super().connection_lost(exc)

    def on_headers_complete(self) -> None:
        """Start a request, or keep it until the one before is answered."""
        super().on_headers_complete()
        if self.pipeline:
            self._check_paused()

    def on_message_begin(self) -> None:
        """Count the bytes of each head anew, and name its connection to the application."""
        super().on_message_begin()
        self._head_bytes = 0
        self.scope[CALLER_SOCKET] = self._caller_socket  # type: ignore[literal-required]

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._count(url)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._count(name, value)
        if name.lower() == _CODING and value.strip().lower() != b'chunked':
            # The parser takes such a body for none, and what follows for the next request.
            raise ValueError('the coding of the body is not known')
        super().on_header(name, value)

    def send_400_response(self, msg: str) -> None:
        """Refuse what can't be read, or a head over its limit: the parser itself has none."""
        under_way = self.cycle is not None and not self.cycle.response_complete
        if under_way and not self.cycle.more_body:
            # The request before is whole: what follows ends the connection after its answer.
            self.cycle.keep_alive = False
        elif self._head_bytes > self._most_bytes:
            self.transport.write(_TOO_LONG)
            self.transport.close()
        else:
            super().send_400_response(msg)

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self._running = cycle
        super()._start_asgi_task(cycle, app)

    def _check_paused(self) -> None:
        """Check for a close while nothing is read, since another request waits on the connection.

        The event loop does not watch a socket that is not read: a close would be noticed only
        when the first request has been answered.
        """
        if self._caller_socket.closed():
            self.transport.abort()
        elif self.pipeline:
            self.loop.call_later(PAUSED_CHECK_S, self._check_paused)

    def _count(self, *parts: bytes) -> None:
        self._head_bytes += sum(map(len, parts))
        if self._head_bytes > self._most_bytes:
            # The parser ends with an error of its own, which is answered above.
            raise ValueError('the head is over its limit')


class CountedHttp(BoundedHttp):
    """One connection of a caller whose requests and bytes are counted."""

    def __init__(self, traffic: Traffic, limits: RequestLimits, **parts: Any) -> None:
        """Serve as ``BoundedHttp`` does; count in ``traffic``."""
        super().__init__(limits, **parts)
        self._traffic = traffic
        self._load = CallerConnection()

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Count what is written to the transport."""
        counted: Any = _CountedTransport(transport, self._traffic)
        super().connection_made(counted)
        self._traffic.callers.add(self._load)
        self._traffic.writing.add(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._traffic.callers.discard(self._load)
        self._traffic.writing.discard(self.transport.inner)  # type: ignore[attr-defined]
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take bytes of requests."""
        self._traffic.received_bytes += len(data) + PACKET_BYTES
        super().data_received(data)

    def on_message_begin(self) -> None:
        """Count a request, and name its connection to the application."""
        super().on_message_begin()
        self._load.requests += 1
        self.scope[CONNECTION] = self._load  # type: ignore[literal-required]


class ConnectionLimit:
    """The bound on the connections of one listener.

    Load pattern: for seconds, the balancer sends most new connections of a data centre to one
    router.  Beyond the bound, its descriptors would not suffice for connections to servers, and the
    requests that it has read could not be served.  A caller whose connection is closed before
    anything is read may try another router at once.
    """

    def __init__(self, most: int) -> None:
        """Allow up to ``most`` connections at a time."""
        self.closed_count = 0
        self._most = most
        self._logged_s = -math.inf

    def allows(self, connections: int, now_s: float) -> bool:
        """Return whether one more connection is allowed beside ``connections``."""
        if connections < self._most:
            return True
        self.closed_count += 1
        if now_s >= self._logged_s + FULL_LOG_S:
            self._logged_s = now_s
            events.FULL.log(connections=connections, closed=self.closed_count)
        return False


class ClosedUnread(asyncio.Protocol):
    """A connection that is closed before anything is read from it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close it."""
        assert isinstance(transport, asyncio.Transport)
        transport.abort()


class _CountedTransport:
    """A transport that counts the bytes written to it."""

    def __init__(self, inner: asyncio.Transport, traffic: Traffic) -> None:
        """Write to ``inner``."""
        self.inner = inner
        self._write = inner.write
        self._traffic = traffic

    def __getattr__(self, name: str) -> Any:
        """Return any other attribute of the transport."""
        return getattr(self.inner, name)

    def write(self, data: bytes) -> None:
        """Count and write bytes."""
        self._traffic.sent_bytes += len(data) + PACKET_BYTES
        self._write(data)


async def serve_http(
    app: Any,
    address: str,
    settings: CallersSettings,
    routing_state: RoutingState,
    closed: anyio.Event,
    traffic: Traffic | None = None,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``app`` at "ip:port" until ``closed`` is set; report the address that is bound.

    Requests and bytes are counted in ``traffic`` if it is given.
    """
    listener = listen(address, settings)
    host, port = listener.getsockname()[:2]
    config = Config(
        app, lifespan='off', log_config=None, access_log=False, proxy_headers=False, ws='none'
    )
    config.load()
    state = ServerState()

    limit = ConnectionLimit(settings.max_connections)

    def opened() -> asyncio.Protocol:
        if not limit.allows(len(state.connections), asyncio.get_running_loop().time()):
            return ClosedUnread()
        limits = (
            routing_state.declarations.declared.limits
            if routing_state.declarations
            else RequestLimits()
        )
        parts: dict[str, Any] = {'config': config, 'server_state': state, 'app_state': {}}
        if traffic is None:
            return BoundedHttp(limits, **parts)
        return CountedHttp(traffic, limits, **parts)

    server = await asyncio.get_running_loop().create_server(opened, sock=listener)
    task_status.started(f'{host}:{port}')
    try:
        await closed.wait()
    finally:
        server.close()
        with anyio.CancelScope(shield=True):
            await _settle(state)


async def _settle(state: ServerState) -> None:
    """Close idle connections at once, the others when they have their answers."""
    for connection in list(state.connections):
        connection.shutdown()
    with anyio.move_on_after(SETTLED_S):
        while state.connections:
            await anyio.sleep(LOOK_S)
    for left in list(state.connections):
        left.transport.abort()
