"""Measure the bytes of requests that a router reads, admitted or not."""

import math

KEPT_PER_S = 0.25
"""Weight that earlier bytes keep after a second: the rate covers about the last second."""


class ReadRate:
    """Bytes of requests per second, with exponential decay."""

    def __init__(self) -> None:
        """Initialize without requests."""
        self._recent_bytes = 0.0
        self._updated_unix_s = 0.0

    def record(self, read_bytes: float, now_unix_s: float) -> None:
        """Count a request that was read."""
        self._decay(now_unix_s)
        self._recent_bytes += read_bytes

    def per_s(self, now_unix_s: float) -> float:
        """Return the rate in bytes per second."""
        self._decay(now_unix_s)
        return self._recent_bytes * -math.log(KEPT_PER_S)

    def _decay(self, now_unix_s: float) -> None:
        passed_s = max(0, now_unix_s - self._updated_unix_s)
        self._updated_unix_s = now_unix_s
        self._recent_bytes *= KEPT_PER_S**passed_s
