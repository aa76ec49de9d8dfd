"""Cold servers: how many requests this router may send one within a second.

Load pattern: a server has just started, or may have.  With nothing under way there it looks best to
all routers at once, and ends under what they send together.  The bound is the service's, over all
routers; no router asks another, so that it holds while they are cut off from each other.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple

from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.routes.declared import Service
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.rendezvous import weight

ENTERED_S = 0.3
"""A request that is sent later than this after it was let in counts anew: its connection took long,
and others may have been let in since."""


class ColdStartContext(NamedTuple):
    """What a policy decides on: a cold server, its bound, and the routers that may send to it.

    ``routers_known`` tells whether this router has had time to hear of the others.
    """

    server: str
    per_s: float
    own: str
    routers: Collection[str]
    routers_known: bool
    now_unix_s: float


ColdPolicy = Callable[[ColdStartContext], int]
"""Returns the requests that this router may send the server within any second."""

cold_policies: Registry[ColdPolicy] = Registry('cold start policy')


@cold_policies.add('few_routers')
def few_routers(context: ColdStartContext) -> int:
    """Let as many routers as the server bears requests send one each, the same for all routers.

    With fewer routers than that, each has the same part.  A router that has just started and does
    not know the others sends nothing, as all may start at once.
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
    """Let routers take turns by the clock: one request in a slot of ``1 / per_s`` seconds.

    It needs clocks that agree to a slot's length, and a request that arrives in the slot.
    """
    order = sorted(context.routers)
    if not context.routers_known or context.own not in order:
        return 0
    slot = int(context.now_unix_s * context.per_s)
    return int(order[slot % len(order)] == context.own)


class ColdStartLimits:
    """What this router may send to cold servers; ``routers`` are all addresses, its ``own`` too."""

    def __init__(self, policy: str, routing_state: RoutingState, own: str) -> None:
        """Decide by a registered policy for the router ``own``."""
        self.own = own
        self.routers: Collection[str] = (own,)
        self.routers_known = False
        self.throttled_count = 0
        self._policy = cold_policies.find(policy)
        self._routing_state = routing_state

    def cold_until_unix_s(self, backend: Backend, now_unix_s: float) -> float:
        """Return until when a server is cold, or may be; 0 where it is not."""
        service = self._service(backend)
        if service is None or not service.cold_per_s:
            return 0.0
        until_unix_s = max(
            self._routing_state.cold_until_unix_s(backend.server),
            backend.cold_until_unix_s(service.cold_s, now_unix_s),
        )
        return until_unix_s if until_unix_s > now_unix_s else 0.0

    def allows(self, backend: Backend, now_unix_s: float) -> bool:
        """Tell whether a server may be sent a request of this router now."""
        if not self.cold_until_unix_s(backend, now_unix_s):
            return True
        return backend.sent_in_last_second(now_unix_s) < self._allowed(backend, now_unix_s)

    def try_acquire(self, backend: Backend, now_unix_s: float) -> bool:
        """Count a request for a server, or tell False where a cold one bears no more."""
        if not self.allows(backend, now_unix_s):
            return False
        backend.record_send(now_unix_s)
        return True

    def may_still_send(self, backend: Backend, entered_unix_s: float, now_unix_s: float) -> bool:
        """Tell right before it is sent whether a request that was let in may still go."""
        if now_unix_s - entered_unix_s <= ENTERED_S:
            return True
        return self.try_acquire(backend, now_unix_s)

    def next_send_unix_s(self, backend: Backend, now_unix_s: float) -> float:
        """Return when a cold server may be sent the next request of this router."""
        until_unix_s = self.cold_until_unix_s(backend, now_unix_s)
        if self._allowed(backend, now_unix_s):
            until_unix_s = min(until_unix_s, backend.next_send_unix_s(now_unix_s))
        return until_unix_s

    def _allowed(self, backend: Backend, now_unix_s: float) -> int:
        service = self._service(backend)
        per_s = service.cold_per_s if service else 0.0
        name = backend.server.lifetime
        return self._policy(
            ColdStartContext(name, per_s, self.own, self.routers, self.routers_known, now_unix_s)
        )

    def _service(self, backend: Backend) -> Service | None:
        declarations = self._routing_state.declarations
        return declarations.services.get(backend.server.service) if declarations else None
