"""What operators declare for forwarding: routes, services, client accounts, limits."""

import enum
from typing import NamedTuple


class Repeat(enum.Enum):
    """What of a route's requests may run again."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMED = 'streamed'


class Target(NamedTuple):
    """A service that a route leads to, and its share of the requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route: host and path prefix, and how its requests are handled.

    ``timeout_ms`` is the longest that a caller is kept, ``goal_ms`` the time to
    the answer (streams: to the first event) that is aimed at, ``max_attempts``
    how many backend servers one request may run on.  ``priority`` 0 is the
    most urgent.  ``resumable`` streams go on elsewhere from the last event.
    ``homes`` are the regions whose servers may get its requests, all where it is empty.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout_ms: float
    goal_ms: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    homes: frozenset[str] = frozenset()

    @property
    def streamed(self) -> bool:
        """Tell whether answers are streams of events."""
        return self.repeat is Repeat.STREAMED

    @property
    def repeatable(self) -> bool:
        """Tell whether a request that may have run can be sent again."""
        return self.repeat is Repeat.SAFE or (self.streamed and self.resumable)


class Service(NamedTuple):
    """A set of like backend servers.

    ``max_connections`` is what one server takes from all routers together;
    ``event_tokens`` the most output tokens in one event of a stream, 0 for a
    plain service; ``memory_tokens`` what one engine can hold.  A server is cold for
    ``cold_s`` after its start, and bears ``cold_per_s`` requests a second until then, of
    all routers together; 0 for a service whose servers bear their load from the start.
    """

    name: str
    max_connections: int
    event_tokens: int = 0
    memory_tokens: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0

    @property
    def engine(self) -> bool:
        """Tell whether the servers are model engines."""
        return self.event_tokens > 0


class RouteAccount(NamedTuple):
    """A client account: keys of its callers, and the tokens it may spend in all.

    ``priority`` goes before the route's where it is not None; ``total_tokens``
    is None for an account without a budget.  ``homes`` bind as a route's do.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    total_tokens: int | None = None
    homes: frozenset[str] = frozenset()


class RequestLimits(NamedTuple):
    """Bounds on what a caller may send, and on how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_ms: float = 3000
    idle_ms: float = 15000


class Declarations(NamedTuple):
    """One version of everything that is declared; a higher version is newer."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[RouteAccount, ...]
    limits: RequestLimits = RequestLimits()


class RouteServer(NamedTuple):
    """One life of a backend server.

    A server may start again under its name: ``lifetime`` and ``born_unix_ms`` tell its lives
    apart, and the greater of the latter is the newer one.  ``cold_until_unix_s`` is 0 for a
    server that does not say that it is cold.
    """

    lifetime: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    born_unix_ms: int = 0
    cold_until_unix_s: float = 0.0

    @property
    def incarnation(self) -> str:
        """What names this life, also where the server starts again under its name."""
        return f'{self.lifetime}/{self.born_unix_ms}' if self.born_unix_ms else self.lifetime
