"""Subject: the policies for servers that name a limit, replayed without input or output."""

from random import Random

from endivesaddle.fleet.routes.advertised_limits import AdvertisedLimits
from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routing.lanes import Lane
from endivesaddle.fleet.routing.limit_shares import LimitShares

START_UNIX_S = 1000.0
PLAYED_S = 60.0
WINDOW_S = 4.0
NAMED_EACH_S = 1.0
UNKNOWN_SHARE = 0.05
SKEW_S = 0.02
SERVER = RouteServer('life-0', 'engines', '10.0.0.1:1', 'a', 64)


class LimitedServer:
    """Routers that each know most of the others, with clocks that differ a little."""

    def __init__(self, policy: str, routers: int, limit: float) -> None:
        """Start when all have heard of the limit."""
        self._random = Random(17)
        self._limit = limit
        names = [f'10.0.0.{number}:1' for number in range(routers)]
        self._named = [AdvertisedLimits() for _ in names]
        self._shares = [
            self._share(policy, named, name, names)
            for named, name in zip(self._named, names, strict=True)
        ]
        self._lanes = [Lane(SERVER) for _ in names]
        self._skews_s = [self._random.uniform(-SKEW_S, SKEW_S) for _ in names]
        self._sent_unix_s: list[float] = []

    def play(self, per_s: float) -> None:
        """Send requests at random routers; the server names its limit once a second."""
        now_unix_s = START_UNIX_S
        named_unix_s = 0.0
        while now_unix_s < START_UNIX_S + PLAYED_S:
            if now_unix_s - named_unix_s >= NAMED_EACH_S:
                named_unix_s = now_unix_s
                self._name(now_unix_s)
            now_unix_s += self._random.expovariate(per_s)
            number = self._random.randrange(len(self._shares))
            here_unix_s = now_unix_s + self._skews_s[number]
            lane = self._lanes[number]
            if self._shares[number].takes(lane, here_unix_s):
                self._shares[number].count(lane, here_unix_s)
                self._sent_unix_s.append(now_unix_s)

    @property
    def served(self) -> int:
        """Requests that the server got."""
        return len(self._sent_unix_s)

    @property
    def busiest(self) -> int:
        """The most requests that it got within any window."""
        return max(self._since(first_unix_s) for first_unix_s in self._sent_unix_s)

    def _since(self, first_unix_s: float) -> int:
        return sum(0 <= one - first_unix_s <= WINDOW_S for one in self._sent_unix_s)

    def _name(self, now_unix_s: float) -> None:
        for named in self._named:
            named.advertised(SERVER.life, self._limit, now_unix_s)

    def _share(
        self, policy: str, named: AdvertisedLimits, name: str, names: list[str]
    ) -> LimitShares:
        share = LimitShares(policy, named, name)
        # One in twenty of the others is unknown: it started just now, or left its entry.
        heard = [other for other in names if self._random.random() >= UNKNOWN_SHARE]
        share.routers = tuple({name, *heard})
        share.settled = True
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
            self._named.advertised(SERVER.life, self.last_per_s, self._now_unix_s)

    @property
    def told(self) -> int:
        """How often there was something to tell."""
        return self._named.count

    @property
    def believed_per_s(self) -> float:
        """The limit that the router keeps."""
        return self._named.per_s(SERVER.life, self._now_unix_s)
