"""The software versions that the servers of each service have, or had recently.

Without I/O.  A version is on record in the store before a resumable stream begins at it.  A stream
whose origin nobody remembers can therefore only have begun at a version on record; if there is one
alone, the stream can continue.
"""

from collections.abc import Collection, Iterable, Mapping
from types import MappingProxyType

from endivesaddle.fleet.routes.declared import Route, RouteServer
from endivesaddle.fleet.routing.stream_origins import StreamOrigin

Versions = Mapping[str, frozenset[str]]
"""The versions of each service."""
NONE: Versions = MappingProxyType({})


def merged(one: Versions, other: Versions) -> Versions:
    """Return the versions that are in any of both."""
    return {
        name: one.get(name, frozenset()) | other.get(name, frozenset()) for name in {*one, *other}
    }


def only_origin(versions: Versions, route: Route) -> StreamOrigin | None:
    """Return the one service and version at which a stream of a route can have begun.

    None if there are several, or none.
    """
    origins = [
        StreamOrigin(target.service, version)
        for target in route.targets
        for version in versions.get(target.service, frozenset())
    ]
    return origins[0] if len(origins) == 1 else None


class ServiceVersions:
    """The versions on record, as far as one router knows, and those of the listed servers."""

    def __init__(self) -> None:
        """Initialize without versions; streams begin anywhere until ``enforced`` is set."""
        self.enforced = False
        self.recorded: Versions = NONE
        self.listed: Versions = NONE

    @property
    def unrecorded(self) -> bool:
        """Whether a listed server has a version that is not known to be on record."""
        return any(
            not names <= self.recorded.get(service, frozenset())
            for service, names in self.listed.items()
        )

    @property
    def mixed(self) -> bool:
        """Whether a service has servers of several versions, or had them recently."""
        return any(len(names) > 1 for names in merged(self.recorded, self.listed).values())

    def may_begin(self, server: RouteServer) -> bool:
        """Return whether a resumable stream may begin at a server."""
        recorded = self.recorded.get(server.service, frozenset())
        return not self.enforced or server.version in recorded

    def list_servers(self, servers: Iterable[RouteServer]) -> None:
        """Note the versions of all listed servers."""
        listed: dict[str, frozenset[str]] = {}
        for server in servers:
            versions = listed.get(server.service, frozenset())
            if server.version not in versions:
                listed[server.service] = versions | {server.version}
        self.listed = listed

    def learn(self, recorded: Mapping[str, Collection[str]]) -> None:
        """Add versions that another router knows to be on record."""
        versions = {service: frozenset(names) for service, names in recorded.items()}
        self.recorded = merged(self.recorded, versions)
