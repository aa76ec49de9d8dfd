"""The routing state of one router: declarations, backend servers and store availability."""

from collections.abc import Callable, Mapping

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes import events, store_events
from endivesaddle.fleet.routes.advertised_limits import AdvertisedLimits
from endivesaddle.fleet.routes.declaration_index import DeclarationIndex
from endivesaddle.fleet.routes.declared import Declarations, RouteServer, Service
from endivesaddle.fleet.routes.evacuations import Evacuations
from endivesaddle.fleet.routes.leaving_servers import LeavingIncarnation, LeavingServers
from endivesaddle.fleet.routing.service_versions import ServiceVersions

Listener = Callable[[], None]


class RoutingState:
    """The newest declarations, and the backend servers that are known.

    The version of the declarations never decreases while the process runs, whether it comes from
    the store or from a router: a caller that saw the effect of one must not see an older one.
    """

    def __init__(self) -> None:
        """Initialize without declarations and servers."""
        self.declarations: DeclarationIndex | None = None
        self.document = b''
        self.servers: dict[str, RouteServer] = {}
        self.missing: dict[str, float] = {}
        self.servers_version = 0
        self.servers_heard_unix_s = 0.0
        self.listeners: list[Listener] = []
        self.evacuations = Evacuations()
        self.evacuations.listeners.append(self._notify)
        self.limits = AdvertisedLimits()
        self.leaving_servers = LeavingServers()
        self.leaving_servers.listeners.append(self._mark_leaving)
        self.versions = ServiceVersions()
        self._written_versions: dict[str, int] = {}
        self._by_service: dict[str, tuple[RouteServer, ...]] = {}

    def declare(self, declared: Declarations, document: bytes, source: str) -> bool:
        """Put a version into force if it is newer; return whether it is.

        ``document`` is the encoded form that other routers can fetch.
        """
        before = self.declarations.version if self.declarations else 0
        if self.declarations is not None and declared.version <= before:
            return False
        self.declarations = DeclarationIndex(declared)
        self.document = document
        events.DECLARED.log(version=declared.version, before=before, source=source)
        self._notify()
        return True

    def note_server_list(self, version: int, now_unix_s: float) -> None:
        """Record that the server list is complete as of a version of the store."""
        self.servers_version = max(self.servers_version, version)
        self.servers_heard_unix_s = now_unix_s

    def update_server(self, server: RouteServer, source: str, version: int = 0) -> None:
        """Add or update a server, from an entry written at a version of the store, 0 if unknown."""
        known = self.servers.get(server.lifetime)
        if known is not None and known.born_unix_ms > server.born_unix_ms:
            # An entry of an earlier incarnation, which has ended, under the same name.
            return
        self.missing.pop(server.lifetime, None)
        self._written_versions[server.lifetime] = version
        if self.leaving_servers.is_leaving(
            LeavingIncarnation(server.lifetime, server.born_unix_ms)
        ):
            # That it is leaving, as it said in an answer, takes precedence over older entries.
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
            version=server.version,
            source=source,
        )
        self._notify()

    def remove_server(self, lifetime: str, source: str) -> None:
        """Remove a server, so that no request is sent to it any more."""
        self.missing.pop(lifetime, None)
        self._written_versions.pop(lifetime, None)
        server = self.servers.pop(lifetime, None)
        if server is None:
            return
        events.SERVER_GONE.log(server=lifetime, address=server.address, source=source)
        self._notify()

    def replace_servers(
        self, servers: Mapping[str, RouteServer], version: int, source: str
    ) -> None:
        """Replace all servers by a list as of a version of the store.

        A list that is older than this router's own is ignored.  Otherwise it would bring back
        servers that announced in the meantime that they leave, and requests would go to them
        until the store is available to this router again.
        """
        if version < self.servers_version:
            return
        self.servers_version = version
        for lifetime in set(self.servers) - set(servers):
            self.remove_server(lifetime, source)
        for server in servers.values():
            self.update_server(server, source)

    def is_listed(self, server: RouteServer) -> bool:
        """Tell whether this incarnation of a server is listed, leaving or not."""
        known = self.servers.get(server.lifetime)
        return known is not None and known.incarnation == server.incarnation

    def is_replaced(self, server: RouteServer) -> bool:
        """Tell whether another incarnation of a server has its address."""
        return any(
            one.address == server.address and one.incarnation != server.incarnation
            for one in self.servers.values()
        )

    def accepts_requests(self, server: RouteServer) -> bool:
        """Tell whether requests may be sent to this incarnation of a server."""
        if server.data_centre in self.evacuations.names:
            return False
        return self.is_listed(server) and not self.servers[server.lifetime].leaving

    def cold_until_unix_s(self, server: RouteServer) -> float:
        """Return until when a server counts as cold.

        That follows from its entry or from the return of its data centre to service.
        """
        known = self.servers.get(server.lifetime, server)
        service = self.declarations.services.get(server.service) if self.declarations else None
        cold_s = service.cold_s if service else 0.0
        version = self._written_version(server)
        returned_cold_until_unix_s = self.evacuations.cold_until_unix_s(
            server.data_centre, version, cold_s
        )
        return max(known.cold_until_unix_s, returned_cold_until_unix_s)

    def service(self, name: str) -> Service | None:
        """Return the declaration of a service, None if it is not declared."""
        return self.declarations.services.get(name) if self.declarations else None

    def memory_tokens(self, service: str) -> int:
        """Return the declared memory of an engine of a service, 0 if there is none."""
        declared = self.service(service)
        return declared.memory_tokens if declared else 0

    def available_servers(self, service: str) -> tuple[RouteServer, ...]:
        """Return the servers of a service that are neither leaving nor evacuated."""
        return self._by_service.get(service, ())

    def staying_servers(self, service: str) -> tuple[RouteServer, ...]:
        """Return the servers of a service that are not leaving, evacuated or not."""
        return tuple(
            one for one in self.servers.values() if one.service == service and not one.leaving
        )

    def _mark_leaving(self, lifetime: str, source: str) -> None:
        known = self.servers.get(lifetime)
        if known is not None:
            self.update_server(known, source)

    def _notify(self) -> None:
        grouped: dict[str, list[RouteServer]] = {}
        for server in self._newest().values():
            if not server.leaving and server.data_centre not in self.evacuations.names:
                grouped.setdefault(server.service, []).append(server)
        self._by_service = {name: tuple(members) for name, members in grouped.items()}
        self.versions.list_servers(self.servers.values())
        for listener in self.listeners:
            listener()

    def _newest(self) -> dict[str, RouteServer]:
        """Return the server at each address whose entry was written last.

        The entry of a crashed server remains for seconds, while its successor already has its
        address.  Requests sent to the crashed one were rejected and used up the retry share.
        An entry of a service that is not declared names no server, and replaces none.
        """
        by_address: dict[str, RouteServer] = {}
        for server in sorted(self.servers.values(), key=self._precedence):
            by_address[server.address] = server
        return by_address

    def _precedence(self, server: RouteServer) -> tuple[bool, int]:
        return self.service(server.service) is not None, self._written_version(server)

    def _written_version(self, server: RouteServer) -> int:
        return self._written_versions.get(server.lifetime, 0)


class StoreStatus:
    """When the store last answered this router, and whether it is unavailable."""

    def __init__(self, clock: Clock) -> None:
        """Initialize as available, without an answer so far."""
        self.last_answer_unix_s = 0.0
        self.recovered_unix_s = 0.0
        self.unavailable = False
        self._clock = clock

    def answered(self) -> None:
        """Record an answer of the store."""
        self.last_answer_unix_s = self._clock.now_s()
        if self.unavailable:
            self.unavailable = False
            self.recovered_unix_s = self.last_answer_unix_s
            store_events.STORE_BACK.log()

    def failed(self, reason: str) -> None:
        """Record a call that failed for ``reason``."""
        if not self.unavailable:
            self.unavailable = True
            store_events.STORE_LOST.log(reason=reason, heard_unix_s=self.last_answer_unix_s)

    @property
    def age_s(self) -> float:
        """Seconds since the store last answered."""
        return self._clock.now_s() - self.last_answer_unix_s
