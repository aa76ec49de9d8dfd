"""One router's share of the repeats that a service bears, kept without asking anyone."""

from collections import deque

WINDOW_S = 10.0
"""Repeats and requests are counted over this time."""
CAUTION = 0.7
"""Share of the allowance that is used: windows of routers and servers don't agree."""


class RetryShare:
    """Sliding counts of one service at one router.

    Allowed are ``ratio`` of the requests that this router sent lately, and its
    part of ``slack`` repeats that all ``routers`` may make together in a window.
    """

    def __init__(self, ratio: float, slack: float) -> None:
        """Start with nothing sent."""
        self._ratio = ratio
        self._slack = slack
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def request(self, now_unix_s: float) -> None:
        """Count a caller's request for the service."""
        self._requests.append(now_unix_s)
        _forget(self._requests, now_unix_s)

    def allow(self, now_unix_s: float, routers: int, reserve: float = 0.0) -> bool:
        """Count one repeat and tell True, or tell False where the share is used up.

        ``reserve`` is the part of the share that is left for more urgent repeats.
        """
        _forget(self._requests, now_unix_s)
        _forget(self._repeats, now_unix_s)
        share = self._ratio * len(self._requests) + self._slack / max(1, routers)
        if len(self._repeats) + 1 > CAUTION * share * (1 - reserve):
            return False
        self._repeats.append(now_unix_s)
        return True


def _forget(times: deque[float], now_unix_s: float) -> None:
    while times and times[0] < now_unix_s - WINDOW_S:
        times.popleft()
