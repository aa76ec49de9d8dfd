"""Import all clients of backend servers, which adds them to the registry."""

from endivesaddle.backend_servers import engine, service
from endivesaddle.backend_servers.clients import client_for

__all__ = ('client_for', 'engine', 'service')
