"""What one router may send to a server now, by all bounds that hold for the routers together."""

from collections.abc import Collection

from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.cold_starts import ColdStartLimits
from endivesaddle.fleet.routing.limit_shares import LimitShares


class SendLimits:
    """The bound of cold servers, and the limits that servers named."""

    def __init__(self, cold: ColdStartLimits, limits: LimitShares) -> None:
        """Keep both."""
        self.cold = cold
        self.limits = limits

    def set_routers(self, own: str, others: Collection[str], routers_known: bool) -> None:
        """Take in which routers share the bounds, and whether there was time to hear of them.

        By address: all agree on these also while some still know a router's earlier life.
        """
        routers = (own, *others)
        for shared in (self.cold, self.limits):
            shared.own = own
            shared.routers = routers
            shared.routers_known = routers_known

    def allows(self, backend: Backend, now_unix_s: float) -> bool:
        """Tell whether a server may be sent a request of this router now; else count that."""
        for bound in (self.limits, self.cold):
            if not bound.allows(backend, now_unix_s):
                bound.throttled_count += 1
                return False
        return True

    def try_acquire(self, backend: Backend, now_unix_s: float) -> bool:
        """Count a request for a server, or tell False where it bears no more."""
        if not self.limits.allows(backend, now_unix_s) or not self.cold.try_acquire(
            backend, now_unix_s
        ):
            return False
        self.limits.record_send(backend, now_unix_s)
        return True

    def may_still_send(self, backend: Backend, entered_unix_s: float, now_unix_s: float) -> bool:
        """Tell right before it is sent whether a request that was let in may still go."""
        if not self.cold.may_still_send(backend, entered_unix_s, now_unix_s):
            return False
        self.limits.record_send(backend, now_unix_s)
        return True

    def next_send_unix_s(self, backend: Backend, now_unix_s: float) -> float:
        """Return when a server may be sent the next request of this router."""
        cold_unix_s = self.cold.next_send_unix_s(backend, now_unix_s)
        return max(cold_unix_s, self.limits.next_send_unix_s(backend, now_unix_s))
