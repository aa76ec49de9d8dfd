"""Request keys about which another data centre has sent a retry query.

Failure: a first attempt is delayed in transit, its caller retries in another data centre,
and the first attempt then arrives. Symptom: the request runs twice. A mark makes the holder
query the other data centres before it grants the first attempt, as it does for a retry;
they know of the run by then.
"""

import heapq

from endivesaddle.fleet.clock import Clock


class RetryMarks:
    """Marked request keys, each with the time at which its mark expires."""

    def __init__(self, clock: Clock) -> None:
        """Initialize with no marks."""
        self._clock = clock
        self._until: dict[str, float] = {}
        self._schedule: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the number of marks."""
        return len(self._until)

    def add(self, request_key: str, until_unix_s: float) -> None:
        """Mark a key; of two expiry times the later one counts."""
        if until_unix_s <= self._until.get(request_key, 0):
            return
        self._until[request_key] = until_unix_s
        heapq.heappush(self._schedule, (until_unix_s, request_key))

    def marked(self, request_key: str) -> bool:
        """Tell whether a key is marked."""
        return self._until.get(request_key, 0) > self._clock.now_s()

    def sweep(self) -> None:
        """Remove the marks that have expired."""
        now_unix_s = self._clock.now_s()
        while self._schedule and self._schedule[0][0] <= now_unix_s:
            request_key = heapq.heappop(self._schedule)[1]
            if not self.marked(request_key):
                self._until.pop(request_key, None)
