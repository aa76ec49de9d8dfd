"""The clients by kind of backend server; importing this fills their registry."""

from endivesaddle.backend_servers import engine, service
from endivesaddle.backend_servers.clients import client_for

__all__ = ('client_for', 'engine', 'service')
