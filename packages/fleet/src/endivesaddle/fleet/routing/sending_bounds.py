"""What one router may send to a server now, by all bounds that hold for the routers together."""

from collections.abc import Collection

from endivesaddle.fleet.routing.cold_starts import ColdStarts
from endivesaddle.fleet.routing.lanes import Lane
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

    def takes(self, lane: Lane, now_unix_s: float) -> bool:
        """Tell whether a server may be sent a request of this router now; else count that."""
        for bound in (self.limits, self.cold):
            if not bound.takes(lane, now_unix_s):
                bound.withheld_count += 1
                return False
        return True

    def enter(self, lane: Lane, now_unix_s: float) -> bool:
        """Count a request for a server, or tell False where it bears no more."""
        if not self.limits.takes(lane, now_unix_s) or not self.cold.enter(lane, now_unix_s):
            return False
        self.limits.count(lane, now_unix_s)
        return True

    def sends(self, lane: Lane, entered_unix_s: float, now_unix_s: float) -> bool:
        """Tell right before it is sent whether a request that was let in may still go."""
        if not self.cold.sends(lane, entered_unix_s, now_unix_s):
            return False
        self.limits.count(lane, now_unix_s)
        return True

    def free_unix_s(self, lane: Lane, now_unix_s: float) -> float:
        """Return when a server may be sent the next request of this router."""
        cold_unix_s = self.cold.free_unix_s(lane, now_unix_s)
        return max(cold_unix_s, self.limits.free_unix_s(lane, now_unix_s))
