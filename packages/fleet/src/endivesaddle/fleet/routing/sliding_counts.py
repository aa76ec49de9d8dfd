"""Amounts counted over a sliding window, in buckets of a fortieth of it."""

import math

BUCKETS = 40
"""Buckets in one window."""
KEPT = 2 * BUCKETS + 2


class SlidingCounts:
    """The amounts of about two windows by bucket; older ones are dropped."""

    def __init__(self, window_s: float) -> None:
        """Initialize without amounts; ``window_s`` is the length of the window."""
        self._bucket_s = window_s / BUCKETS
        self._amounts: dict[int, float] = {}

    def bucket(self, now_unix_s: float) -> int:
        """Return the number of the bucket that a time belongs to."""
        return math.floor(now_unix_s / self._bucket_s)

    def add(self, bucket: int, amount: float) -> None:
        """Add to a bucket; a negative amount takes back what was added."""
        if bucket not in self._amounts:
            for old in [one for one in self._amounts if one <= bucket - KEPT]:
                del self._amounts[old]
        self._amounts[bucket] = self.at(bucket) + amount

    def at(self, bucket: int) -> float:
        """Return the amount of one bucket."""
        return self._amounts.get(bucket, 0.0)

    def total(self, first: int, last: int) -> float:
        """Return the sum over the buckets from ``first`` to ``last``."""
        return sum(self.at(bucket) for bucket in range(first, last + 1))

    def totals(self, length: int, first: int, last: int) -> list[float]:
        """Return the sums of ``length`` buckets that end at each from ``first`` to ``last``."""
        total = self.total(first - length + 1, first)
        totals = [total]
        for end in range(first + 1, last + 1):
            total += self.at(end) - self.at(end - length)
            totals.append(total)
        return totals
