"""Decide when an allocator's next write of a group of accounts begins.

Load pattern: many routers meet an account for the first time within a second, as when a data
centre wakes up or all processes have been killed.  Each has to be on record before it gets tokens,
so that each request caused a write to the store: 68 of them in half a second.  With an interval,
the requests that arrive meanwhile are served by one write.
"""

import dataclasses
import math

from endivesaddle.fleet import settings
from endivesaddle.fleet.routes import allocator_events as events

MAX_WAIT_S = 0.04
"""A request waits at most this long for a write to begin, whatever the interval is.

It is a third of the shortest goal of the routes (120 ms); a write takes another 4 ms."""
STORE_ANSWER_S = 0.004
"""Writes for requests that can't wait longer begin at least this long after each other: the time
that a healthy store takes to answer."""


@dataclasses.dataclass(frozen=True)
class AllocatorSettings:
    """How allocators write grants."""

    grant_write_interval_s: float = settings.option(
        'grant-write-interval-s',
        'seconds between two writes of the grants of a group of accounts; 0 for none',
        0.0,
        settings.number(0, 1),
    )


class WriteIntervals:
    """The times of the writes of one group, and of the requests that wait for one."""

    def __init__(self, allocator_settings: AllocatorSettings, group: int) -> None:
        """Initialize without writes; ``group`` is only logged."""
        self.written_count = 0
        self.joined_count = 0
        self._interval_s = allocator_settings.grant_write_interval_s
        self._group = group
        self._waiting = 0
        self._waiting_since_unix_s = math.inf
        self._began_unix_s = -math.inf
        self._early = False

    @property
    def enabled(self) -> bool:
        """Whether one write may serve several requests."""
        return self._interval_s > 0

    def wait(self, now_unix_s: float) -> None:
        """Record that a request waits for a write that has not begun."""
        self._waiting += 1
        self._waiting_since_unix_s = min(self._waiting_since_unix_s, now_unix_s)

    def due_unix_s(self) -> float:
        """Return when the next write may begin; the past if it may begin at once."""
        regular_unix_s = self._began_unix_s + self._interval_s
        if math.isinf(self._waiting_since_unix_s):
            return regular_unix_s
        early_unix_s = max(
            self._began_unix_s + STORE_ANSWER_S, self._waiting_since_unix_s + MAX_WAIT_S
        )
        return min(regular_unix_s, early_unix_s)

    def attempt(self) -> None:
        """Record that an attempt begins, which serves all requests that wait now."""
        self.joined_count += max(0, self._waiting - 1)
        self._waiting = 0
        self._waiting_since_unix_s = math.inf

    def write(self, now_unix_s: float) -> None:
        """Record that a call to write begins."""
        early = now_unix_s < self._began_unix_s + self._interval_s
        if early != self._early:
            self._early = early
            events.WRITES_EARLY.log(
                group=self._group,
                early=early,
                since_last_s=round(now_unix_s - self._began_unix_s, 3),
                interval_s=self._interval_s,
            )
        self._began_unix_s = now_unix_s
        self.written_count += 1
