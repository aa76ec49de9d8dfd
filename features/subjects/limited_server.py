"""Subject: the policies for servers that advertise a limit, without I/O."""

from endivesaddle.fleet.routes.advertised_limits import AdvertisedLimits
from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.limit_shares import LimitShares
from subjects.random_routers import RandomRouters, busiest

SEED = 17
START_UNIX_S = 1000.0
PLAYED_S = 60.0
WINDOW_S = 4.0
ADVERTISE_INTERVAL_S = 1.0
SERVER = RouteServer('life-0', 'engines', '10.0.0.1:1', 'a', 64)


class LimitedServer:
    """Routers that each know most of the others, with small clock differences."""

    def __init__(self, policy: str, routers: int, limit: float) -> None:
        """Initialize with the limit known to all routers."""
        self._limit = limit
        names = [f'10.0.0.{number}:1' for number in range(routers)]
        self._random_routers = RandomRouters(SEED, names)
        self._advertised = [AdvertisedLimits() for _ in names]
        self._shares = [
            _share(LimitShares(policy, advertised, name), known)
            for advertised, name, known in zip(
                self._advertised, names, self._random_routers.known, strict=True
            )
        ]
        self._backends = [Backend(SERVER) for _ in names]
        self._sent_unix_s: list[float] = []

    def play(self, per_s: float) -> None:
        """Send requests to random routers; the server advertises its limit once per second."""
        advertised_unix_s = 0.0
        end_unix_s = START_UNIX_S + PLAYED_S
        for arrival in self._random_routers.arrivals(per_s, START_UNIX_S, end_unix_s):
            if arrival.now_unix_s - advertised_unix_s >= ADVERTISE_INTERVAL_S:
                advertised_unix_s = arrival.now_unix_s
                self._advertise(advertised_unix_s)
            share, backend = self._shares[arrival.router], self._backends[arrival.router]
            if share.allows(backend, arrival.router_unix_s):
                share.record_send(backend, arrival.router_unix_s)
                self._sent_unix_s.append(arrival.now_unix_s)

    @property
    def served(self) -> int:
        """Requests that the server got."""
        return len(self._sent_unix_s)

    @property
    def busiest(self) -> int:
        """The maximum of requests within any window."""
        return busiest(self._sent_unix_s, WINDOW_S)

    def _advertise(self, now_unix_s: float) -> None:
        for advertised in self._advertised:
            advertised.advertised(SERVER.incarnation, self._limit, now_unix_s)


def _share(share: LimitShares, routers: tuple[str, ...]) -> LimitShares:
    share.routers = routers
    share.routers_known = True
    return share


class VaryingLimit:
    """One router and a server that advertises a different limit in each response."""

    def __init__(self) -> None:
        """Initialize with no limit."""
        self.last_per_s = 0.0
        self._limits = AdvertisedLimits()
        self._now_unix_s = START_UNIX_S

    def process_responses(self) -> None:
        """Process a hundred responses."""
        for number in range(100):
            self._now_unix_s += WINDOW_S / 100
            self.last_per_s = 10 + number % 2 / 2
            self._limits.advertised(SERVER.incarnation, self.last_per_s, self._now_unix_s)

    @property
    def change_count(self) -> int:
        """The number of changes to report."""
        return self._limits.count

    @property
    def known_per_s(self) -> float:
        """The limit that the router uses."""
        return self._limits.per_s(SERVER.incarnation, self._now_unix_s)
