"""Estimate the number of routers among which the store's rates are divided.

The number of routers that a router sees now is not reliable.  Right after its start it
sees only itself, and in a partition only a few: if all routers then took a large share,
they would overload the store just when it is needed.  So the largest number of the last
minutes counts, and a full fleet is assumed until the membership view has filled.
"""

from collections import deque

from endivesaddle.fleet.clock import Clock

WINDOW_S = 300.0
"""How long a number of routers counts after it was last seen."""
FULL_FLEET_ROUTERS = 410
"""Number of routers assumed at the start."""
FULL_FLEET_S = 5.0
"""How long a full fleet is assumed; the first heartbeats fill the view within 1 to 2 seconds."""
MIN_ROUTERS = 4
"""No router takes more than a quarter of a rate: the others may be invisible to it for now."""


class RouterCount:
    """The largest number of routers seen within ``WINDOW_S``."""

    def __init__(self, clock: Clock) -> None:
        """Initialize with a full fleet, assumed for ``FULL_FLEET_S``."""
        self._clock = clock
        # Dated back, so that the assumed number expires after ``FULL_FLEET_S``.
        assumed_unix_s = clock.now_s() + FULL_FLEET_S - WINDOW_S
        self._seen: deque[tuple[float, int]] = deque([(assumed_unix_s, FULL_FLEET_ROUTERS)])

    def update(self, count: int) -> int:
        """Record the number of routers seen now; return the number to divide by."""
        now_unix_s = self._clock.now_s()
        # A number that is not above a later one can't become the largest again.
        while self._seen and self._seen[-1][1] <= count:
            self._seen.pop()
        self._seen.append((now_unix_s, count))
        while self._seen[0][0] < now_unix_s - WINDOW_S:
            self._seen.popleft()
        return max(MIN_ROUTERS, self._seen[0][1])
