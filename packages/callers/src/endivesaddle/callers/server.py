"""Serving of the application with hypercorn until a stop is requested."""

import asyncio
import socket
from typing import Any

import anyio
from anyio.abc import TaskStatus
from anyio.lowlevel import checkpoint
from hypercorn.asyncio import serve as serve_asgi
from hypercorn.config import Config, Sockets

from endivesaddle.callers import events
from endivesaddle.callers.app import CallersApp
from endivesaddle.callers.caller_closes import CallerCloses, ClosesToApp, WatchedListener
from endivesaddle.callers.listening import BACKLOG, listen
from endivesaddle.callers.settings import CallersSettings


async def serve(
    app: CallersApp,
    address: str,
    shutdown: anyio.Event,
    stop_within_s: float,
    *,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``app`` at "ip:port" until ``shutdown`` is set and the last request has ended.

    Reports the bound address ("ip:port") once it accepts connections. After ``shutdown`` it
    accepts no new connections, closes idle ones and waits for the requests in flight, for at
    most ``stop_within_s``.
    """
    listener = listen(address, app.settings)
    host, port = listener.getsockname()[:2]
    bound = f'{host}:{port}'
    events.LISTENING.log(http_address=bound)
    task_status.started(bound)
    try:
        with CallerCloses() as closes:
            config = _Config(WatchedListener(listener, closes), app.settings, stop_within_s)
            application: Any = ClosesToApp(app, closes)
            await serve_asgi(application, config, shutdown_trigger=shutdown.wait)
    except asyncio.InvalidStateError:
        # hypercorn's clean-up fails when it is cancelled; only the cancellation matters here.
        await checkpoint()
        raise
    if app.cut_count:
        events.CUT.log(http_address=bound, requests=app.cut_count)
    else:
        events.STOPPED.log(http_address=bound)


class _Config(Config):
    """The settings of hypercorn for one listening socket."""

    def __init__(
        self, listener: socket.socket, settings: CallersSettings, stop_within_s: float
    ) -> None:
        super().__init__()
        self.backlog = BACKLOG
        self.errorlog = None
        self.include_server_header = False
        self.graceful_timeout = stop_within_s
        self.keep_alive_timeout = settings.keep_alive_s
        self.keep_alive_max_requests = settings.requests_a_connection
        self._listener = listener

    def create_sockets(self) -> Sockets:
        """Return the socket to serve on, which is bound already."""
        return Sockets([], [self._listener], [])
