"""Serve an ASGI application on an ephemeral loopback port, for tests and the demo."""

import os
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

GRACE_S = 0.2


@asynccontextmanager
async def serve_asgi(
    app: Any,
    address: tuple[str, int] = ('127.0.0.1', 0),
    certificate: tuple[str, str] | None = None,
) -> AsyncIterator[str]:
    """Serve ``app`` and yield its base URL; connections wait from the start on.

    ``certificate`` names the PEM files of a certificate and its key.
    """
    # Named as TCP, so that asyncio turns Nagle's algorithm off on its connections.
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP) as listener:
        listener.bind(address)
        listener.listen()
        host, port = listener.getsockname()[:2]
        stop = anyio.Event()
        config = _config(os.dup(listener.fileno()), certificate)
        scheme = 'https' if certificate else 'http'
        failure = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_serve, app, config, stop)
            try:
                yield f'{scheme}://{host}:{port}'
            except Exception as error:
                # Raised again outside the group, which would wrap it.
                failure = error
            finally:
                stop.set()
        if failure is not None:
            raise failure


def _config(descriptor: int, certificate: tuple[str, str] | None) -> Config:
    config = Config()
    if certificate:
        config.certfile = certificate[0]
        config.keyfile = certificate[1]
    config.bind = [f'fd://{descriptor}']
    config.graceful_timeout = GRACE_S
    config.loglevel = 'CRITICAL'
    config.keep_alive_timeout = 3600
    # The server would close a connection after 1000 calls, now and then under the next one.
    config.keep_alive_max_requests = sys.maxsize
    return config


async def _serve(app: Any, config: Config, stop: anyio.Event) -> None:
    await serve(app, config, shutdown_trigger=stop.wait)
