"""Types of the operators' declarations for forwarding."""

import enum
from random import Random
from typing import NamedTuple


class Repeat(enum.Enum):
    """Whether a route's requests may run more than once."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMED = 'streamed'


class Target(NamedTuple):
    """A service that gets a route's requests, and its share of them."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route: host and path prefix, and how its requests are handled.

    ``timeout_ms`` is the longest that a caller waits, ``goal_ms`` the target time to
    the answer (for streams, to the first event), ``max_attempts`` the number of
    backend servers that one request may run on.  ``priority`` 0 is the most
    urgent.  ``resumable`` streams can continue on another server after the last event.
    ``homes`` are the regions whose servers may get its requests, empty for all.
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

    def service_of(self, request_id: str) -> str:
        """Return the service of a request, the same on each call."""
        if len(self.targets) == 1:
            return self.targets[0].service
        names = [target.service for target in self.targets]
        weights = [target.weight for target in self.targets]
        return Random(request_id).choices(names, weights)[0]


class Service(NamedTuple):
    """A set of equivalent backend servers.

    ``max_connections`` is the limit on connections to one server from all routers together;
    ``event_tokens`` the most output tokens in one event of a stream, 0 for a
    plain service; ``memory_tokens`` the capacity of one engine.  A server is cold for
    ``cold_s`` after its start, and handles only ``cold_per_s`` requests a second from all
    routers together until then; 0 if servers handle their full load from the start.
    ``token_bytes`` is the size of a cached prompt token and ``transfer_mbps`` the rate in
    Mbit/s at which engines copy them from each other, 0 if they don't.
    """

    name: str
    max_connections: int
    event_tokens: int = 0
    memory_tokens: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    token_bytes: int = 0
    transfer_mbps: float = 0.0

    @property
    def engine(self) -> bool:
        """Tell whether the servers are model engines."""
        return self.event_tokens > 0


class RouteAccount(NamedTuple):
    """A client account: the keys of its callers, and the total of tokens that it may spend.

    ``priority`` overrides the route's unless it is None; ``total_tokens`` is None
    for an account without a budget.  ``homes`` restrict regions as a route's do.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    total_tokens: int | None = None
    homes: frozenset[str] = frozenset()


class RequestLimits(NamedTuple):
    """Limits on the size and duration of what a caller sends."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_ms: float = 3000
    idle_ms: float = 15000


class Declarations(NamedTuple):
    """One version of all declarations; a higher version is newer."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[RouteAccount, ...]
    limits: RequestLimits = RequestLimits()


class RouteServer(NamedTuple):
    """One incarnation of a backend server.

    A server may restart under its name: ``lifetime`` and ``born_unix_ms`` together identify the
    incarnation, and a greater ``born_unix_ms`` is newer.  ``cold_until_unix_s`` is 0 for a server
    whose entry does not say that it is cold.  ``version`` is that of its software, '' if its entry
    does not say.
    """

    lifetime: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    born_unix_ms: int = 0
    cold_until_unix_s: float = 0.0
    version: str = ''

    @property
    def incarnation(self) -> str:
        """The id of this incarnation, unique also if the server restarts under its name."""
        return f'{self.lifetime}/{self.born_unix_ms}' if self.born_unix_ms else self.lifetime
