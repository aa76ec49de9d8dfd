"""Build the node of a process from its settings, once its address is known."""

from endivesaddle.backend_servers.kinds import client_for
from endivesaddle.daemon.node import Node, Ports
from endivesaddle.daemon.process import Build, identity_of
from endivesaddle.daemon.router import Router, RouterSettings
from endivesaddle.daemon.sidecar import Sidecar, SidecarSettings
from endivesaddle.fleet.ports import Handlers

ROUTER = 'router'
SIDECAR = 'sidecar'


def build_router(settings: RouterSettings) -> Build:
    """Return what builds a router with these settings."""

    def build(address: str, ports: Ports, handlers: Handlers) -> Node:
        identity = identity_of(settings.place, ROUTER, address)
        return Router(settings, identity, ports, handlers)

    return build


def build_sidecar(settings: SidecarSettings) -> Build:
    """Return what builds a sidecar with these settings."""

    def build(address: str, ports: Ports, handlers: Handlers) -> Node:
        server = settings.server.described(settings.place.data_centre)
        identity = identity_of(settings.place, SIDECAR, address, server.name)
        client = client_for(settings.backend, server, ports.clock)
        return Sidecar(settings, identity, ports, handlers, client)

    return build
