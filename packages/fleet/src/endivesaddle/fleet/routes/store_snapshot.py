"""Copies of the store's contents that routers send each other during an outage.

Each copy has the store version as of which it is complete, so that an older one has no effect.
"""

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes import events
from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routes.instance_directory import InstanceDirectory
from endivesaddle.fleet.routes.routing_state import RoutingState, StoreStatus
from endivesaddle.wire import routers_pb2

FRESH_S = 2.5
"""A router sends others its server list if it read it from the store within this time."""


class StoreSnapshot:
    """The contents of the store, as one router sends them to others and learns them from others."""

    def __init__(
        self,
        routing_state: RoutingState,
        store_status: StoreStatus,
        directory: InstanceDirectory,
        clock: Clock,
    ) -> None:
        """Send what ``routing_state`` and ``directory`` hold, and merge what others send."""
        self._routing_state = routing_state
        self._store_status = store_status
        self._directory = directory
        self._clock = clock

    @property
    def wanted(self) -> bool:
        """Whether this router needs copies from others."""
        return self._store_status.unavailable or self._routing_state.declarations is None

    def add_to(self, reply: routers_pb2.WordReply) -> None:
        """Add this router's copy to a reply."""
        routing_state = self._routing_state
        now_unix_s = self._clock.now_s()
        reply.sidecars.extend(self._directory.sidecars)
        for service, versions in routing_state.versions.recorded.items():
            reply.versions.add(service=service, versions=sorted(versions))
        if routing_state.evacuations.heard:
            reply.evacuations_told = True
            reply.evacuations_version = routing_state.evacuations.version
            reply.evacuated.extend(sorted(routing_state.evacuations.names))
        if now_unix_s - routing_state.servers_heard_unix_s < FRESH_S:
            reply.servers_told = True
            reply.servers_version = routing_state.servers_version
            reply.servers.extend(
                _server_message(server, now_unix_s) for server in routing_state.servers.values()
            )

    def merge(self, reply: routers_pb2.WordReply, address: str) -> None:
        """Merge the copy of the router at ``address``, as far as it is newer."""
        routing_state = self._routing_state
        now_unix_s = self._clock.now_s()
        if not self._directory.sidecars:
            # A router that starts during an outage learns of the sidecars only here.
            self._directory.sidecars = tuple(reply.sidecars)
        routing_state.versions.learn({one.service: one.versions for one in reply.versions})
        if reply.evacuations_told:
            version = reply.evacuations_version
            routing_state.evacuations.replace(reply.evacuated, version, now_unix_s, address)
        if not reply.servers_told or not self._store_status.unavailable:
            return
        before = set(routing_state.servers)
        servers = {server.lifetime: _server(server, now_unix_s) for server in reply.servers}
        routing_state.replace_servers(servers, reply.servers_version, address)
        if before != set(routing_state.servers):
            events.FACTS.log(
                other=address, store_age_s=reply.word.store_age_s, servers=len(reply.servers)
            )


def _server_message(server: RouteServer, now_unix_s: float) -> routers_pb2.ServerWord:
    fields = server._asdict()
    cold_s = max(0.0, fields.pop('cold_until_unix_s') - now_unix_s)
    return routers_pb2.ServerWord(cold_s=cold_s, **fields)


def _server(message: routers_pb2.ServerWord, now_unix_s: float) -> RouteServer:
    return RouteServer(
        message.lifetime,
        message.service,
        message.address,
        message.data_centre,
        message.slots,
        message.leaving,
        message.born_unix_ms,
        now_unix_s + message.cold_s if message.cold_s else 0.0,
        message.version,
    )
