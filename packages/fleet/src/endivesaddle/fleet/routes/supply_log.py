"""Log the changes of the decisions on a router's supply with tokens, bounded in number."""

from collections.abc import Sequence

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes import supply_events as events
from endivesaddle.fleet.routes.account_pool import AccountPool
from endivesaddle.fleet.routes.call_times import SLOW_S

LOGGED_EVERY_S = 5.0
"""That requests of an account wait is logged at most this often."""


class SupplyLog:
    """What was logged last."""

    def __init__(self, clock: Clock) -> None:
        """Initialize with nothing logged."""
        self._clock = clock
        self._logged_unix_s: dict[str, float] = {}
        self._calls_slow = False
        self._stalled: set[str] = set()

    def speed(self, call_s: float) -> None:
        """Log that this router's calls became slow, or usual again."""
        if (call_s >= SLOW_S) != self._calls_slow:
            self._calls_slow = not self._calls_slow
            events.CALLS_SLOW.log(slow=self._calls_slow, call_s=round(call_s, 4))

    def waiting(self, name: str, pool: AccountPool, call_s: float) -> None:
        """Log that requests of an account wait."""
        now_unix_s = self._clock.now_s()
        if self._logged_unix_s.get(name, 0) + LOGGED_EVERY_S <= now_unix_s:
            self._logged_unix_s[name] = now_unix_s
            events.WAITING.log(
                account=name,
                waiting_tokens=pool.queue.waiting_tokens,
                available_tokens=pool.balance.available,
                hold_tokens=pool.hold_tokens,
                call_s=round(call_s, 4),
            )

    def stalled(self, name: str, pool: AccountPool, allocators: Sequence[str]) -> None:
        """Log that no allocator gives tokens of an account."""
        if name not in self._stalled:
            self._stalled.add(name)
            events.STALLED.log(
                account=name,
                waiting_tokens=pool.queue.waiting_tokens,
                available_tokens=pool.balance.available,
                keepers=list(allocators),
            )

    def resumed(self, name: str) -> None:
        """Log that an allocator gives tokens of an account again."""
        if name in self._stalled:
            self._stalled.discard(name)
            events.RESUMED.log(account=name)
