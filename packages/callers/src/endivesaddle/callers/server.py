"""Serving of the application with hypercorn until a stop is requested."""

import asyncio
import socket
from typing import Any

import anyio
from anyio.abc import TaskStatus
from anyio.lowlevel import checkpoint
from hypercorn.asyncio import serve as serve_asgi
from hypercorn.config import Config

from endivesaddle.callers import events
from endivesaddle.callers.app import CallersApp
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
    application: Any = app
    config = _config(listener, app.settings, stop_within_s)
    try:
        await serve_asgi(application, config, shutdown_trigger=shutdown.wait)
    except asyncio.InvalidStateError:
        # hypercorn's clean-up fails when it is cancelled; only the cancellation matters here.
        await checkpoint()
        raise
    if app.cut_count:
        events.CUT.log(http_address=bound, requests=app.cut_count)
    else:
        events.STOPPED.log(http_address=bound)


def _config(listener: socket.socket, settings: CallersSettings, stop_within_s: float) -> Config:
    config = Config()
    config.bind = [f'fd://{listener.detach()}']
    config.backlog = BACKLOG
    config.errorlog = None
    config.include_server_header = False
    config.graceful_timeout = stop_within_s
    config.keep_alive_timeout = settings.keep_alive_s
    config.keep_alive_max_requests = settings.requests_a_connection
    return config
