"""Facts of the store that routers tell each other, for those that it does not answer.

Each has the version of the store up to which it is known, so that an older one changes nothing.
"""

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes import events
from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routes.instance_directory import InstanceDirectory
from endivesaddle.fleet.routes.routing_state import RoutingState, StoreStatus
from endivesaddle.wire import routers_pb2

FRESH_S = 2.5
"""A router tells others of the servers if it heard of them from the store this lately."""


class Facts:
    """What one router tells of the store, and learns from others."""

    def __init__(
        self,
        routing_state: RoutingState,
        store_status: StoreStatus,
        directory: InstanceDirectory,
        clock: Clock,
    ) -> None:
        """Tell what ``routing_state`` and ``directory`` hold, and add to them."""
        self._routing_state = routing_state
        self._store_status = store_status
        self._directory = directory
        self._clock = clock

    @property
    def wanted(self) -> bool:
        """Whether this router needs to be told."""
        return self._store_status.unavailable or self._routing_state.declarations is None

    def tell(self, reply: routers_pb2.WordReply) -> None:
        """Add what is known here to a reply."""
        routing_state = self._routing_state
        now_unix_s = self._clock.now_s()
        reply.sidecars.extend(self._directory.sidecars)
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

    def learn(self, reply: routers_pb2.WordReply, address: str) -> None:
        """Take in what the router at ``address`` told, as far as it is newer."""
        routing_state = self._routing_state
        now_unix_s = self._clock.now_s()
        if not self._directory.sidecars:
            # A router that starts while it is cut off learns of them here alone.
            self._directory.sidecars = tuple(reply.sidecars)
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
    )
