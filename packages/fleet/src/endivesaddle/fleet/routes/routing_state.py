"""What one router believes now of the declarations and of the backend servers."""

from collections.abc import Callable, Mapping

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes import events, store_events
from endivesaddle.fleet.routes.advertised_limits import AdvertisedLimits
from endivesaddle.fleet.routes.declaration_index import DeclarationIndex
from endivesaddle.fleet.routes.declared import Declarations, RouteServer
from endivesaddle.fleet.routes.evacuations import Evacuations
from endivesaddle.fleet.routes.leaving_servers import LeavingIncarnation, LeavingServers

Listener = Callable[[], None]


class RoutingState:
    """The newest declarations and the servers that take requests.

    A version never goes back in the life of a process: callers that saw the
    effect of one must not meet an older one, whichever way it comes in.
    """

    def __init__(self) -> None:
        """Know nothing yet."""
        self.declarations: DeclarationIndex | None = None
        self.document = b''
        self.servers: dict[str, RouteServer] = {}
        self.missing: dict[str, float] = {}
        self.servers_version = 0
        self.servers_heard_unix_s = 0.0
        self.listeners: list[Listener] = []
        self.evacuations = Evacuations()
        self.evacuations.listeners.append(self._tell)
        self.limits = AdvertisedLimits()
        self.leaving_servers = LeavingServers()
        self.leaving_servers.listeners.append(self._said_it_leaves)
        self._written: dict[str, int] = {}
        self._by_service: dict[str, tuple[RouteServer, ...]] = {}

    def declare(self, declared: Declarations, document: bytes, source: str) -> bool:
        """Take a version in force if it is newer; ``document`` is as it was written."""
        before = self.declarations.version if self.declarations else 0
        if self.declarations is not None and declared.version <= before:
            return False
        self.declarations = DeclarationIndex(declared)
        self.document = document
        events.DECLARED.log(version=declared.version, before=before, source=source)
        self._tell()
        return True

    def note_server_list(self, version: int, now_unix_s: float) -> None:
        """Note that the store told now of all entries of servers up to a version of it."""
        self.servers_version = max(self.servers_version, version)
        self.servers_heard_unix_s = now_unix_s

    def update_server(self, server: RouteServer, source: str, version: int = 0) -> None:
        """Take in what a server said of itself, in an entry of a version, 0 for unknown."""
        known = self.servers.get(server.lifetime)
        if known is not None and known.born_unix_ms > server.born_unix_ms:
            # News of a life that ended, under the name of the one that is there now.
            return
        self.missing.pop(server.lifetime, None)
        self._written[server.lifetime] = version
        if self.leaving_servers.said(LeavingIncarnation(server.lifetime, server.born_unix_ms)):
            # Its own word in an answer goes before an entry that was written earlier.
            server = server._replace(leaving=True)
        if known == server:
            return
        self.servers[server.lifetime] = server
        events.SERVER.log(
            server=server.lifetime,
            address=server.address,
            leaving=server.leaving,
            born_unix_ms=server.born_unix_ms,
            cold_until_unix_s=round(server.cold_until_unix_s, 2),
            source=source,
        )
        self._tell()

    def remove_server(self, lifetime: str, source: str) -> None:
        """Send a server nothing more: its entry is gone."""
        self.missing.pop(lifetime, None)
        self._written.pop(lifetime, None)
        server = self.servers.pop(lifetime, None)
        if server is None:
            return
        events.SERVER_GONE.log(server=lifetime, address=server.address, source=source)
        self._tell()

    def replace_servers(
        self, servers: Mapping[str, RouteServer], version: int, source: str
    ) -> None:
        """Take a whole list as of a version of the store: what it lacks is withdrawn.

        An older list than what is known here is passed over: it would bring back servers that
        said meanwhile that they leave, and requests went to them until the store answered here.
        """
        if version < self.servers_version:
            return
        self.servers_version = version
        for lifetime in set(self.servers) - set(servers):
            self.remove_server(lifetime, source)
        for server in servers.values():
            self.update_server(server, source)

    def is_listed(self, server: RouteServer) -> bool:
        """Tell whether this life of a server is still there, leaving or not."""
        known = self.servers.get(server.lifetime)
        return known is not None and known.incarnation == server.incarnation

    def is_replaced(self, server: RouteServer) -> bool:
        """Tell whether another life of a server has its address."""
        return any(
            one.address == server.address and one.incarnation != server.incarnation
            for one in self.servers.values()
        )

    def accepts_requests(self, server: RouteServer) -> bool:
        """Tell whether this life of a server may be sent requests."""
        if server.data_centre in self.evacuations.names:
            return False
        return self.is_listed(server) and not self.servers[server.lifetime].leaving

    def cold_until_unix_s(self, server: RouteServer) -> float:
        """Return until when a server is cold, by its entry or by its data centre's takeback."""
        known = self.servers.get(server.lifetime, server)
        service = self.declarations.services.get(server.service) if self.declarations else None
        cold_s = service.cold_s if service else 0.0
        version = self._written_at(server)
        suspected_unix_s = self.evacuations.cold_until_unix_s(server.data_centre, version, cold_s)
        return max(known.cold_until_unix_s, suspected_unix_s)

    def available_servers(self, service: str) -> tuple[RouteServer, ...]:
        """Return the servers of a service that are not leaving, in no evacuated data centre."""
        return self._by_service.get(service, ())

    def staying_servers(self, service: str) -> tuple[RouteServer, ...]:
        """Return the servers of a service that are not leaving, evacuated or not."""
        return tuple(
            one for one in self.servers.values() if one.service == service and not one.leaving
        )

    def _said_it_leaves(self, lifetime: str, source: str) -> None:
        known = self.servers.get(lifetime)
        if known is not None:
            self.update_server(known, source)

    def _tell(self) -> None:
        grouped: dict[str, list[RouteServer]] = {}
        for server in self._newest().values():
            if not server.leaving and server.data_centre not in self.evacuations.names:
                grouped.setdefault(server.service, []).append(server)
        self._by_service = {name: tuple(members) for name, members in grouped.items()}
        for listener in self.listeners:
            listener()

    def _newest(self) -> dict[str, RouteServer]:
        """Return the server at each address whose entry was written last.

        The entry of one that ended without a word stays for seconds, while the next one has its
        address: requests to the first were turned away, and used up what may be sent again.
        """
        by_address: dict[str, RouteServer] = {}
        for server in self.servers.values():
            other = by_address.get(server.address)
            if other is None or self._written_at(server) >= self._written_at(other):
                by_address[server.address] = server
        return by_address

    def _written_at(self, server: RouteServer) -> int:
        return self._written.get(server.lifetime, 0)


class StoreStatus:
    """When the store was last heard, and whether it is away."""

    def __init__(self, clock: Clock) -> None:
        """Start without contact."""
        self.last_answer_unix_s = 0.0
        self.recovered_unix_s = 0.0
        self.unavailable = False
        self._clock = clock

    def answered(self) -> None:
        """Note an answer."""
        self.last_answer_unix_s = self._clock.now_s()
        if self.unavailable:
            self.unavailable = False
            self.recovered_unix_s = self.last_answer_unix_s
            store_events.STORE_BACK.log()

    def failed(self, reason: str) -> None:
        """Note a call without an answer."""
        if not self.unavailable:
            self.unavailable = True
            store_events.STORE_LOST.log(reason=reason, heard_unix_s=self.last_answer_unix_s)

    @property
    def age_s(self) -> float:
        """Seconds since the store last answered."""
        return self._clock.now_s() - self.last_answer_unix_s
