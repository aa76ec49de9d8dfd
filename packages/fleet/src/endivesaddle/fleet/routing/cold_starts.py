"""Rate limits for cold servers: how many requests this router may send to one per second.

Load pattern: a server has just started, or may have.  Without requests it is the first choice of
all routers at once, and crashes under their combined load.  The limit is declared for the service
and applies to all routers together.  Routers don't coordinate it by calls, so that it holds while
they can't reach each other.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple

from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.routes.declared import Service
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.rendezvous import weight

RECOUNT_AFTER_S = 0.3
"""A request sent later than this after it was counted is counted again: its connection took long,
and other requests may have been counted since."""


class ColdStartContext(NamedTuple):
    """The input of a policy: a cold server, its limit, and the routers that may send to it.

    ``routers_known`` is False until this router has had time to learn of the others.
    """

    server: str
    per_s: float
    own: str
    routers: Collection[str]
    routers_known: bool
    now_unix_s: float


ColdPolicy = Callable[[ColdStartContext], int]
"""Returns the number of requests that this router may send to the server in any second."""

cold_policies: Registry[ColdPolicy] = Registry('cold start policy')


@cold_policies.add('few_routers')
def few_routers(context: ColdStartContext) -> int:
    """Let as many routers as the limit allows send one request each; all agree on the choice.

    If there are fewer routers, each gets an equal share.  A router that has just started and does
    not know the others sends nothing, since all may have started at once.
    """
    most = int(context.per_s)
    if not context.routers_known:
        return 0
    if len(context.routers) <= most:
        return most // max(1, len(context.routers))
    chosen = sorted(context.routers, key=lambda router: weight(context.server, router))
    return int(context.own in chosen[:most])


@cold_policies.add('time_slots')
def time_slots(context: ColdStartContext) -> int:
    """Let routers take turns by the clock: one request per slot of ``1 / per_s`` seconds.

    The clocks must agree to within a slot, and a request must arrive during the slot.
    """
    order = sorted(context.routers)
    if not context.routers_known or context.own not in order:
        return 0
    slot = int(context.now_unix_s * context.per_s)
    return int(order[slot % len(order)] == context.own)


class ColdStartLimits:
    """Limits on what this router sends to cold servers.

    ``routers`` are the addresses of all routers, with its ``own``.
    """

    def __init__(self, policy: str, routing_state: RoutingState, own: str) -> None:
        """Use a registered policy for the router ``own``."""
        self.own = own
        self.routers: Collection[str] = (own,)
        self.routers_known = False
        self.throttled_count = 0
        self._policy = cold_policies.find(policy)
        self._routing_state = routing_state

    def cold_until_unix_s(self, backend: Backend, now_unix_s: float) -> float:
        """Return until when a server is or may be cold, 0 if it is not."""
        service = self._service(backend)
        if service is None or not service.cold_per_s:
            return 0.0
        until_unix_s = max(
            self._routing_state.cold_until_unix_s(backend.server),
            backend.cold_until_unix_s(service.cold_s, now_unix_s),
        )
        return until_unix_s if until_unix_s > now_unix_s else 0.0

    def allows(self, backend: Backend, now_unix_s: float) -> bool:
        """Return whether this router may send a request to a server now."""
        if not self.cold_until_unix_s(backend, now_unix_s):
            return True
        return backend.sent_in_last_second(now_unix_s) < self._allowed_per_s(backend, now_unix_s)

    def try_acquire(self, backend: Backend, now_unix_s: float) -> bool:
        """Count a request for a server; False if a cold server is at its limit."""
        if not self.allows(backend, now_unix_s):
            return False
        backend.record_send(now_unix_s)
        return True

    def may_still_send(self, backend: Backend, acquired_unix_s: float, now_unix_s: float) -> bool:
        """Return whether a request that was counted earlier may be sent now."""
        if now_unix_s - acquired_unix_s <= RECOUNT_AFTER_S:
            return True
        return self.try_acquire(backend, now_unix_s)

    def next_send_unix_s(self, backend: Backend, now_unix_s: float) -> float:
        """Return when this router may send the next request to a cold server."""
        until_unix_s = self.cold_until_unix_s(backend, now_unix_s)
        if self._allowed_per_s(backend, now_unix_s):
            until_unix_s = min(until_unix_s, backend.next_send_unix_s(now_unix_s))
        return until_unix_s

    def _allowed_per_s(self, backend: Backend, now_unix_s: float) -> int:
        service = self._service(backend)
        per_s = service.cold_per_s if service else 0.0
        name = backend.server.lifetime
        return self._policy(
            ColdStartContext(name, per_s, self.own, self.routers, self.routers_known, now_unix_s)
        )

    def _service(self, backend: Backend) -> Service | None:
        declarations = self._routing_state.declarations
        return declarations.services.get(backend.server.service) if declarations else None
