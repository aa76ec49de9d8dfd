"""What one router may send to a server now, by all bounds that hold for the routers together."""

from collections.abc import Collection

from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.cold_starts import ColdStarts
from endivesaddle.fleet.routing.limit_shares import LimitShares


class SendingBounds:
    """The bound of cold servers, and the limits that servers named."""

    def __init__(self, cold: ColdStarts, limits: LimitShares) -> None:
        """Keep both."""
        self.cold = cold
        self.limits = limits

    def know_routers(self, own: str, others: Collection[str], settled: bool) -> None:
        """Take in which routers share the bounds, and whether there was time to hear of them.

        By address: all agree on these also while some still know a router's earlier life.
        """
        routers = (own, *others)
        for shared in (self.cold, self.limits):
            shared.own = own
            shared.routers = routers
            shared.settled = settled

    def takes(self, backend: Backend, now_unix_s: float) -> bool:
        """Tell whether a server may be sent a request of this router now; else count that."""
        for bound in (self.limits, self.cold):
            if not bound.takes(backend, now_unix_s):
                bound.withheld_count += 1
                return False
        return True

    def enter(self, backend: Backend, now_unix_s: float) -> bool:
        """Count a request for a server, or tell False where it bears no more."""
        if not self.limits.takes(backend, now_unix_s) or not self.cold.enter(backend, now_unix_s):
            return False
        self.limits.count(backend, now_unix_s)
        return True

    def sends(self, backend: Backend, entered_unix_s: float, now_unix_s: float) -> bool:
        """Tell right before it is sent whether a request that was let in may still go."""
        if not self.cold.sends(backend, entered_unix_s, now_unix_s):
            return False
        self.limits.count(backend, now_unix_s)
        return True

    def free_unix_s(self, backend: Backend, now_unix_s: float) -> float:
        """Return when a server may be sent the next request of this router."""
        cold_unix_s = self.cold.free_unix_s(backend, now_unix_s)
        return max(cold_unix_s, self.limits.free_unix_s(backend, now_unix_s))
