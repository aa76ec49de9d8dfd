"""A token bucket of the link's bytes that keeps a reserve for more urgent requests.

Load pattern: more requests than a router's link or processor can serve, of several ranks.
"""

from endivesaddle.fleet.overload.level import Measured

BOTH_DIRECTIONS = 2
BURST_S = 0.25
"""Seconds of the rate that the bucket holds, the greatest tolerated delay: a full bucket that is
emptied at once delays nothing by more."""
RESERVED = 0.8
"""Share of the bucket that the least urgent rank leaves to all others."""
LOWEST_RANK = 9
ADJUST_S = 0.25
"""Time between adjustments of the rate; the measurements cover half a second."""
FIRST_SHARE = 0.75
"""Share of the link's capacity, or of what is being delivered, that is admitted at first: the rest
drains the queues that the overload has left."""
INCREASE = 0.02
"""Growth of the rate at an adjustment, as a share of the greatest rate: by half within 6 s."""
DECREASE = 0.04
MAX_DECREASE = 0.2
"""Decrease for each tolerated delay beyond the first, at most a fifth.  A rate that was halved at
each adjustment would leave the link idle for as long as the queues take to show it."""
LEAST_BYTES_PER_S = 65536
"""About two prompts a second, so that an idle router always admits some request."""


class ByteBucket:
    """The bytes that may be admitted now; unknown capacity is given as 0."""

    def __init__(self, link_bytes_per_s: float) -> None:
        """Initialize for a link; ``start`` sets the rate."""
        self._most_per_s = BOTH_DIRECTIONS * link_bytes_per_s
        self._peak_per_s = float(LEAST_BYTES_PER_S)
        self._adjusted_unix_s = 0.0
        self._filled_unix_s = 0.0
        # Deployments use few of the ranks; the reserve is for those that occur.
        self._least_urgent = 1
        self.rate = float(LEAST_BYTES_PER_S)
        self.level = 0.0

    @property
    def size(self) -> float:
        """The bytes that the bucket holds."""
        return self.rate * BURST_S

    def start(self, measured: Measured) -> None:
        """Begin with a half-full bucket below the link's rate, else below the rate of delivery."""
        capacity_per_s = self._most_per_s or measured.bytes_per_s
        self.rate = max(LEAST_BYTES_PER_S, FIRST_SHARE * capacity_per_s)
        self._peak_per_s = max(LEAST_BYTES_PER_S, capacity_per_s)
        self.level = self.size / 2
        self._filled_unix_s = measured.now_unix_s
        self._adjusted_unix_s = measured.now_unix_s

    def halve(self) -> None:
        """Leave at most half of the bytes, for a router that gets new connections again."""
        self.level = min(self.level, self.size / 2)

    def adjust(self, measured: Measured) -> None:
        """Lower the rate while the delay is above the tolerated one, raise it otherwise."""
        if measured.now_unix_s - self._adjusted_unix_s < ADJUST_S:
            return
        self._adjusted_unix_s = measured.now_unix_s
        self._peak_per_s = max(self._peak_per_s, measured.bytes_per_s)
        if measured.pressure > 1:
            kept = 1 - min(MAX_DECREASE, DECREASE * (measured.pressure - 1))
            # What is being delivered is the capacity; less of it drains the queues.
            least = max(LEAST_BYTES_PER_S, kept * measured.bytes_per_s)
            self.rate = min(self.rate, max(least, kept * self.rate))
        else:
            raised = self.rate + INCREASE * self._peak_per_s
            self.rate = min(raised, self._most_per_s or raised)

    def admit(self, cost_bytes: float, rank: int, now_unix_s: float) -> bool:
        """Take the cost of a request, unless the reserve for more urgent ones would be touched.

        A request that is larger than the bucket is admitted when the bucket is full.
        """
        self._fill(now_unix_s)
        self._least_urgent = max(self._least_urgent, min(rank, LOWEST_RANK))
        reserve = self.size * RESERVED * min(rank, LOWEST_RANK) / self._least_urgent
        if self.level - reserve < min(cost_bytes, self.size - reserve):
            return False
        self.level -= cost_bytes
        return True

    def charge(self, cost_bytes: float) -> None:
        """Take the bytes of a request that was read and rejected."""
        self.level = max(-self.size, self.level - cost_bytes)

    def _fill(self, now_unix_s: float) -> None:
        passed_s = max(0, now_unix_s - self._filled_unix_s)
        self._filled_unix_s = now_unix_s
        self.level = min(self.size, self.level + passed_s * self.rate)
