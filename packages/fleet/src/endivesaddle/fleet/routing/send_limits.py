"""All limits on what one router may send to a server, out of limits shared by the routers."""

from collections.abc import Collection

from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.cold_starts import ColdStartLimits
from endivesaddle.fleet.routing.limit_shares import LimitShares


class SendLimits:
    """The limits of cold servers and the limits that servers advertise."""

    def __init__(self, cold: ColdStartLimits, limits: LimitShares) -> None:
        """Combine both limits."""
        self.cold = cold
        self.limits = limits

    def set_routers(self, own: str, others: Collection[str], routers_known: bool) -> None:
        """Set the routers that share the limits, and whether there was time to learn of them.

        Routers are identified by address: all agree on these even while some still know a router's
        previous incarnation.
        """
        routers = (own, *others)
        for shared in (self.cold, self.limits):
            shared.own = own
            shared.routers = routers
            shared.routers_known = routers_known

    def allows(self, backend: Backend, now_unix_s: float) -> bool:
        """Return whether this router may send a request to a server now; count if it may not."""
        for limit in (self.limits, self.cold):
            if not limit.allows(backend, now_unix_s):
                limit.throttled_count += 1
                return False
        return True

    def try_acquire(self, backend: Backend, now_unix_s: float) -> bool:
        """Count a request for a server; False if the server is at a limit."""
        if not self.limits.allows(backend, now_unix_s) or not self.cold.try_acquire(
            backend, now_unix_s
        ):
            return False
        self.limits.record_send(backend, now_unix_s)
        return True

    def may_still_send(self, backend: Backend, acquired_unix_s: float, now_unix_s: float) -> bool:
        """Return whether a request that was counted earlier may be sent now."""
        if not self.cold.may_still_send(backend, acquired_unix_s, now_unix_s):
            return False
        self.limits.record_send(backend, now_unix_s)
        return True

    def next_send_unix_s(self, backend: Backend, now_unix_s: float) -> float:
        """Return when this router may send the next request to a server."""
        cold_unix_s = self.cold.next_send_unix_s(backend, now_unix_s)
        return max(cold_unix_s, self.limits.next_send_unix_s(backend, now_unix_s))
