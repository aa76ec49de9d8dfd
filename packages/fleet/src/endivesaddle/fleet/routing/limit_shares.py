"""This router's share of the rate limit that a server advertises to all routers together.

Load pattern: an overloaded server accepts fewer requests per second than there are routers, and
each router learns of it within a second.  Routers don't coordinate before they send, so that the
limit also holds while they can't reach each other or the store.
"""

import math
from collections.abc import Callable, Collection
from typing import NamedTuple

from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.routes.advertised_limits import MAX_INCARNATIONS, AdvertisedLimits
from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.rendezvous import weight

WINDOW_S = 4.0
"""A limit is divided over this window: per second, many shares would be less than one request."""


class LimitContext(NamedTuple):
    """The input of a policy: a server's limit and the number of routers that share it.

    ``rank`` is this router's position among them, from 0; all routers agree on the order for a
    server.
    """

    per_s: float
    routers: int
    rank: int


LimitPolicy = Callable[[LimitContext], float]
"""Returns the seconds between two requests of this router, infinite if it may send none."""

limit_policies: Registry[LimitPolicy] = Registry('limit policy')


@limit_policies.add('few_routers')
def few_routers(context: LimitContext) -> float:
    """Divide whole requests; with more routers than requests, the first in order get one each."""
    window_s = max(WINDOW_S, 1 / context.per_s)
    most = max(1, int(context.per_s * window_s))
    each, more = divmod(most, context.routers)
    share = each + int(context.rank < more)
    return window_s / share if share else math.inf


@limit_policies.add('equal_parts')
def equal_parts(context: LimitContext) -> float:
    """Give each router an equal share of the limit, however small."""
    return context.routers / context.per_s


class LimitShares:
    """Limits on what this router sends to servers that advertise a limit.

    ``routers`` are the addresses of all routers, with its ``own``; ``routers_known`` tells whether
    it has had time to learn of the others.
    """

    def __init__(self, policy: str, advertised: AdvertisedLimits, own: str) -> None:
        """Use a registered policy for the router ``own``."""
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
        """Return whether this router may send a request to a server now."""
        return self.next_send_unix_s(backend, now_unix_s) <= now_unix_s

    def record_send(self, backend: Backend, now_unix_s: float) -> None:
        """Record that a request is sent to a server now."""
        incarnation = backend.server.incarnation
        if self._advertised and self._advertised.per_s(incarnation, now_unix_s):
            self._sent_unix_s[incarnation] = now_unix_s
            if len(self._sent_unix_s) > MAX_INCARNATIONS:
                del self._sent_unix_s[next(iter(self._sent_unix_s))]

    def next_send_unix_s(self, backend: Backend, now_unix_s: float) -> float:
        """Return when this router may send the next request to a server, 0 for at any time.

        A router without a share returns when the server accepts the next request of any router:
        callers that retry then may reach a router with a share.
        """
        incarnation = backend.server.incarnation
        per_s = self._advertised.per_s(incarnation, now_unix_s) if self._advertised else 0.0
        if not per_s:
            return 0.0
        pause_s = self._pause_s(incarnation, per_s)
        if math.isinf(pause_s):
            return now_unix_s + 1 / per_s
        return self._sent_unix_s.get(incarnation, 0.0) + pause_s

    def _pause_s(self, incarnation: str, per_s: float) -> float:
        if not self.routers_known:
            # The other routers are unknown, and any number of them may have started with this one.
            return max(WINDOW_S, 1 / per_s)
        return self._policy(LimitContext(per_s, len(self.routers), self._rank(incarnation)))

    def _rank(self, incarnation: str) -> int:
        """Return this router's rank for a server, cached while the routers stay the same."""
        if self._ranked != (self.own, self.routers):
            self._ranked = (self.own, self.routers)
            self._ranks = {}
        if incarnation not in self._ranks:
            own = weight(incarnation, self.own)
            self._ranks[incarnation] = sum(
                weight(incarnation, router) < own for router in self.routers
            )
        return self._ranks[incarnation]
