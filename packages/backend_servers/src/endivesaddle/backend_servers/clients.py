"""Registry of the clients of backend servers, by kind."""

from collections.abc import Callable

import httpx

from endivesaddle.backend_servers.settings import BackendSettings
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import BackendServer
from endivesaddle.fleet.interfaces import BackendServerClient
from endivesaddle.fleet.registry import Registry

ClientFactory = Callable[
    [BackendSettings, BackendServer, Clock, httpx.AsyncBaseTransport | None], BackendServerClient
]
KINDS: Registry[ClientFactory] = Registry('kind of backend server')


def client_for(
    settings: BackendSettings,
    server: BackendServer,
    clock: Clock,
    transport: httpx.AsyncBaseTransport | None = None,
) -> BackendServerClient:
    """Return a client of a backend server; raise ``UserError`` for an unknown kind."""
    return KINDS.find(server.kind)(settings, server, clock, transport)
