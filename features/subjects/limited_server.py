"""Subject: the policies for servers that name a limit, replayed without input or output."""

from endivesaddle.fleet.routes.advertised_limits import AdvertisedLimits
from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.limit_shares import LimitShares
from subjects.random_routers import RandomRouters, busiest

SEED = 17
START_UNIX_S = 1000.0
PLAYED_S = 60.0
WINDOW_S = 4.0
NAMED_EACH_S = 1.0
SERVER = RouteServer('life-0', 'engines', '10.0.0.1:1', 'a', 64)


class LimitedServer:
    """Routers that each know most of the others, with clocks that differ a little."""

    def __init__(self, policy: str, routers: int, limit: float) -> None:
        """Start when all have heard of the limit."""
        self._limit = limit
        names = [f'10.0.0.{number}:1' for number in range(routers)]
        self._drawn = RandomRouters(SEED, names)
        self._advertised = [AdvertisedLimits() for _ in names]
        self._shares = [
            _share(LimitShares(policy, advertised, name), heard)
            for advertised, name, heard in zip(
                self._advertised, names, self._drawn.known, strict=True
            )
        ]
        self._backends = [Backend(SERVER) for _ in names]
        self._sent_unix_s: list[float] = []

    def play(self, per_s: float) -> None:
        """Send requests at random routers; the server names its limit once a second."""
        named_unix_s = 0.0
        end_unix_s = START_UNIX_S + PLAYED_S
        for arrival in self._drawn.arrivals(per_s, START_UNIX_S, end_unix_s):
            if arrival.now_unix_s - named_unix_s >= NAMED_EACH_S:
                named_unix_s = arrival.now_unix_s
                self._name(named_unix_s)
            share, backend = self._shares[arrival.router], self._backends[arrival.router]
            if share.allows(backend, arrival.here_unix_s):
                share.record_send(backend, arrival.here_unix_s)
                self._sent_unix_s.append(arrival.now_unix_s)

    @property
    def served(self) -> int:
        """Requests that the server got."""
        return len(self._sent_unix_s)

    @property
    def busiest(self) -> int:
        """The most requests that it got within any window."""
        return busiest(self._sent_unix_s, WINDOW_S)

    def _name(self, now_unix_s: float) -> None:
        for advertised in self._advertised:
            advertised.advertised(SERVER.incarnation, self._limit, now_unix_s)


def _share(share: LimitShares, routers: tuple[str, ...]) -> LimitShares:
    share.routers = routers
    share.routers_known = True
    return share


class VaryingLimit:
    """What one router tells of a server that names another limit in each answer."""

    def __init__(self) -> None:
        """Start without a limit."""
        self.last_per_s = 0.0
        self._named = AdvertisedLimits()
        self._now_unix_s = START_UNIX_S

    def hear(self) -> None:
        """Hear a hundred answers."""
        for number in range(100):
            self._now_unix_s += WINDOW_S / 100
            self.last_per_s = 10 + number % 2 / 2
            self._named.advertised(SERVER.incarnation, self.last_per_s, self._now_unix_s)

    @property
    def told(self) -> int:
        """How often there was something to tell."""
        return self._named.count

    @property
    def believed_per_s(self) -> float:
        """The limit that the router keeps."""
        return self._named.per_s(SERVER.incarnation, self._now_unix_s)
