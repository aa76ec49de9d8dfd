"""Notice that callers close their connections, also while the HTTP server does not read them.

Hypercorn reads nothing from a connection while a request waits there behind another one, so that
it learns of a close only when the first request has been answered.  The kernel reports closes by
``epoll`` whether a connection is read or not.
"""

import asyncio
import select
import socket
import weakref
from collections.abc import Callable, MutableMapping
from functools import partial
from typing import Any, NamedTuple

import anyio

from endivesaddle.callers.exchange import DISCONNECT, SEEN_BY, Message, Receive, Send

Peer = tuple[str, int]
"""The host and port of a caller."""


class _Connection(NamedTuple):
    """An open connection, and whether its caller has closed it."""

    socket: weakref.ref[socket.socket]
    closed: asyncio.Event


class CallerCloses:
    """The open connections of one listener; used as a context manager on the event loop."""

    def __init__(self) -> None:
        """Initialize without connections."""
        self._epoll = select.epoll()
        self._connections: dict[Peer, _Connection] = {}
        self._peers: dict[int, Peer] = {}

    def __enter__(self) -> 'CallerCloses':
        """Begin to watch."""
        asyncio.get_running_loop().add_reader(self._epoll.fileno(), self._note_closes)
        return self

    def __exit__(self, *_: object) -> None:
        """End watching."""
        asyncio.get_running_loop().remove_reader(self._epoll.fileno())
        self._epoll.close()

    def add(self, accepted: socket.socket, peer: Peer) -> None:
        """Watch a connection until its socket is closed."""
        forget = partial(self._forget, peer)
        self._connections[peer] = _Connection(weakref.ref(accepted, forget), asyncio.Event())
        self._peers[accepted.fileno()] = peer
        # Edge-triggered: a close is reported once. Resets are reported whatever is asked for.
        self._epoll.register(accepted.fileno(), select.EPOLLRDHUP | select.EPOLLET)

    def closed(self, peer: Peer) -> asyncio.Event | None:
        """Return the event that is set when a caller closes; None if it is not connected."""
        connection = self._connections.get(peer)
        return connection.closed if connection else None

    def _note_closes(self) -> None:
        for descriptor, _ in self._epoll.poll(0):
            closed = self.closed(self._peers.get(descriptor, ('', 0)))
            if closed is not None:
                closed.set()

    def _forget(self, peer: Peer, ended: weakref.ref[socket.socket]) -> None:
        """Forget a connection whose socket is gone, unless a new one has the same peer."""
        connection = self._connections.get(peer)
        if connection is not None and connection.socket is ended:
            del self._connections[peer]


class WatchedListener(socket.socket):
    """A listening socket whose connections are watched."""

    def __init__(self, listener: socket.socket, closes: CallerCloses) -> None:
        """Take over ``listener``."""
        super().__init__(fileno=listener.detach())
        self._closes = closes

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection and watch it."""
        accepted, address = super().accept()
        self._closes.add(accepted, address[:2])
        return accepted, address


class ClosesToApp:
    """An ASGI application that is told of closes which the HTTP server has not read."""

    def __init__(self, app: Any, closes: CallerCloses) -> None:
        """Pass everything on to ``app``."""
        self._app = app
        self._closes = closes

    async def __call__(self, scope: MutableMapping[str, Any], receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        client = scope.get('client')
        closed = self._closes.closed(tuple(client)) if client else None
        if closed is not None:
            receive = partial(_receive_or_close, receive, closed)
        await self._app(scope, receive, send)


async def _receive_or_close(receive: Receive, closed: asyncio.Event) -> Message:
    """Return the next message, or that the caller has disconnected once it has closed."""
    received: list[Message] = []
    async with anyio.create_task_group() as group:
        group.start_soon(_receive, receive, received, group.cancel_scope.cancel)
        await closed.wait()
        group.cancel_scope.cancel()
    return received[0] if received else {'type': DISCONNECT, SEEN_BY: 'socket'}


async def _receive(receive: Receive, received: list[Message], end: Callable[[], None]) -> None:
    received.append(await receive())
    end()
