"""Retry shares as they were before: counted by each process, the slack divided by live routers."""

from collections import defaultdict, deque
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from endivesaddle.fleet.routing.retry_share import RetryBudget

USED_SHARE = 0.7


class FormerShare:
    """The share of one service on one router."""

    def __init__(self) -> None:
        """Initialize with no requests."""
        self.requests_unix_s: deque[float] = deque()
        self.retries_unix_s: deque[float] = deque()

    def record_request(self, now_unix_s: float) -> None:
        """Count a caller's request."""
        self.requests_unix_s.append(now_unix_s)

    def drop_before(self, unix_s: float) -> None:
        """Forget what lies before a time."""
        for times in (self.requests_unix_s, self.retries_unix_s):
            while times and times[0] < unix_s:
                times.popleft()


class FormerShares:
    """The shares of one router, which knows ``routers`` live ones."""

    def __init__(self, budget: RetryBudget, routers: Callable[[], int]) -> None:
        """Initialize with no services."""
        self._budget = budget
        self._routers = routers
        self._shares: defaultdict[str, FormerShare] = defaultdict(FormerShare)

    def of(self, service: str) -> FormerShare:
        """Return the share of a service."""
        return self._shares[service]

    def decide(self, service: str, now_unix_s: float) -> Any:
        """Grant and count a retry, or refuse it."""
        share = self._shares[service]
        share.drop_before(now_unix_s - self._budget.window_s)
        allowed = self._budget.ratio * len(share.requests_unix_s)
        allowed += self._budget.slack / max(1, self._routers())
        granted = len(share.retries_unix_s) + 1 <= USED_SHARE * allowed
        if granted:
            share.retries_unix_s.append(now_unix_s)
        return SimpleNamespace(granted=granted)
