"""This router's share of the limit that a server named, which is for all routers together.

Load pattern: a server in need takes fewer requests a second than there are routers, and each
router hears of it within a second.  No router asks another before it sends, so that the limit also
holds while they are cut off from each other and from the store.
"""

import math
from collections.abc import Callable, Collection
from typing import NamedTuple

from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.routes.advertised_limits import MOST_LIVES, AdvertisedLimits
from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.rendezvous import weight

WINDOW_S = 4.0
"""A limit is shared out over so long: within a second many would be less than one request."""


class LimitContext(NamedTuple):
    """What a policy decides on: a server's limit, and how many routers share it.

    ``rank`` is this router's place among them, 0 for the first; all agree on their order for a
    server.
    """

    per_s: float
    routers: int
    rank: int


LimitPolicy = Callable[[LimitContext], float]
"""Returns the seconds between two requests of this router, infinite for none at all."""

limit_policies: Registry[LimitPolicy] = Registry('limit policy')


@limit_policies.add('few_routers')
def few_routers(context: LimitContext) -> float:
    """Share out whole requests: where routers are more, the first of the order send one each."""
    window_s = max(WINDOW_S, 1 / context.per_s)
    most = max(1, int(context.per_s * window_s))
    each, more = divmod(most, context.routers)
    share = each + int(context.rank < more)
    return window_s / share if share else math.inf


@limit_policies.add('equal_parts')
def equal_parts(context: LimitContext) -> float:
    """Let each router send its part of the limit, however seldom that is."""
    return context.routers / context.per_s


class LimitShares:
    """What this router may send to servers that named a limit.

    ``routers`` are the addresses of all routers, with its ``own``; ``routers_known`` tells whether
    it has had time to learn of the others.
    """

    def __init__(self, policy: str, advertised: AdvertisedLimits, own: str) -> None:
        """Decide by a registered policy for the router ``own``."""
        self.own = own
        self.routers: Collection[str] = (own,)
        self.routers_known = False
        self.throttled_count = 0
        self._policy = limit_policies.find(policy)
        self._advertised = advertised
        self._sent_unix_s: dict[str, float] = {}
        self._ranks: dict[str, int] = {}
        self._ranked: tuple[str, Collection[str]] = ('', ())

    def allows(self, backend: Backend, now_unix_s: float) -> bool:
        """Tell whether a server may be sent a request of this router now."""
        return self.next_send_unix_s(backend, now_unix_s) <= now_unix_s

    def record_send(self, backend: Backend, now_unix_s: float) -> None:
        """Count a request that goes there now."""
        life = backend.server.incarnation
        if self._advertised and self._advertised.per_s(life, now_unix_s):
            self._sent_unix_s[life] = now_unix_s
            if len(self._sent_unix_s) > MOST_LIVES:
                del self._sent_unix_s[next(iter(self._sent_unix_s))]

    def next_send_unix_s(self, backend: Backend, now_unix_s: float) -> float:
        """Return when a server may be sent the next request of this router, 0 for at any time.

        A router without a share names the time after which the server takes the next request of
        any router: callers that come back then may meet one that has a share.
        """
        life = backend.server.incarnation
        per_s = self._advertised.per_s(life, now_unix_s) if self._advertised else 0.0
        if not per_s:
            return 0.0
        pause_s = self._pause_s(life, per_s)
        if math.isinf(pause_s):
            return now_unix_s + 1 / per_s
        return self._sent_unix_s.get(life, 0.0) + pause_s

    def _pause_s(self, life: str, per_s: float) -> float:
        if not self.routers_known:
            # The others are unknown: as many as there are may have started with this one.
            return max(WINDOW_S, 1 / per_s)
        return self._policy(LimitContext(per_s, len(self.routers), self._rank(life)))

    def _rank(self, life: str) -> int:
        """Return this router's place in the order of all for a server, kept while they stay."""
        if self._ranked != (self.own, self.routers):
            self._ranked = (self.own, self.routers)
            self._ranks = {}
        if life not in self._ranks:
            own = weight(life, self.own)
            self._ranks[life] = sum(weight(life, router) < own for router in self.routers)
        return self._ranks[life]
