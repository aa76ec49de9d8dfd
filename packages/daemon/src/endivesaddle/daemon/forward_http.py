"""The HTTP listeners of a forwarding router, under the limits that are declared."""

from typing import Any

import anyio
from hypercorn.asyncio import serve as serve_asgi
from hypercorn.config import Config

from endivesaddle.callers.server import listen
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.fleet.routes.known import Known

SETTLED_S = 0.5
"""Connections that are still open at the end of a stop are closed within this."""
IDLE_REQUESTS = 1_000_000
"""Connections of callers are kept however many requests they carry."""
_MS = 1000


async def serve_http(
    app: Any, address: str, settings: CallersSettings, known: Known, closed: anyio.Event
) -> None:
    """Serve ``app`` at "ip:port" until ``closed`` is set."""
    listener = listen(address, settings)
    config = Config()
    config.bind = [f'fd://{listener.detach()}']
    config.errorlog = None
    config.include_server_header = False
    config.include_date_header = False
    config.keep_alive_max_requests = IDLE_REQUESTS
    config.graceful_timeout = SETTLED_S

    def limit() -> None:
        """Apply the declared limits; a connection that is open keeps its bound on headers."""
        if known.book is not None:
            limits = known.book.declared.limits
            config.h11_max_incomplete_size = limits.header_bytes
            config.keep_alive_timeout = limits.idle_ms / _MS

    limit()
    known.listeners.append(limit)
    await serve_asgi(app, config, shutdown_trigger=closed.wait)
