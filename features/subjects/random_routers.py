"""Subject: requests to routers with clock differences that know most of each other."""

from collections.abc import Iterator
from random import Random
from typing import NamedTuple

UNKNOWN_SHARE = 0.05
SKEW_S = 0.02


class Arrival(NamedTuple):
    """A request to a router: its true time, and the time on the router's clock."""

    router: int
    now_unix_s: float
    router_unix_s: float


class RandomRouters:
    """Routers by name, and the names that each of them knows, with its own."""

    def __init__(self, seed: int, names: list[str]) -> None:
        """Choose at random which routers know each other, and their clock errors."""
        self._random = Random(seed)
        self.known = [self._known(name, names) for name in names]
        self._skews_s = [self._random.uniform(-SKEW_S, SKEW_S) for _ in names]

    def arrivals(self, per_s: float, begin_unix_s: float, end_unix_s: float) -> Iterator[Arrival]:
        """Yield requests to random routers at random times."""
        now_unix_s = begin_unix_s
        while now_unix_s < end_unix_s:
            now_unix_s += self._random.expovariate(per_s)
            router = self._random.randrange(len(self.known))
            yield Arrival(router, now_unix_s, now_unix_s + self._skews_s[router])

    def _known(self, name: str, names: list[str]) -> tuple[str, ...]:
        # One in twenty of the others is unknown: it has just started, or its entry is gone.
        known = [other for other in names if self._random.random() >= UNKNOWN_SHARE]
        return tuple({name, *known})


def busiest(sent_unix_s: list[float], window_s: float) -> int:
    """Return the maximum of requests within any window."""
    return max(
        (sum(0 <= one - first <= window_s for one in sent_unix_s) for first in sent_unix_s),
        default=0,
    )
