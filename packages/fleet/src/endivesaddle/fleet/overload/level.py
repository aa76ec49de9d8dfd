"""Decide how overloaded a router is, from the delay that it adds and the use of its link.

Load pattern: the balancer gives one router several times its share.  Its link or its processor is
saturated, and its calls, its callers' requests and the responses queue.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

GOAL_SHARE = 0.25
"""Share of a route's ``goal_ms`` that the router may use up by its own delay: the slack that a
caller has besides the server's own time."""
MIN_TOLERATED_S = 0.02
"""Shorter delays also occur without overload, by the scheduling of a shared processor."""
MAX_TOLERATED_S = 0.25
"""The time limit of a call to an allocator; with more delay the router's own calls fail."""
SHEDDING_AFTER_S = 0.3
"""Bursts of prompts shorter than this drain by themselves."""
CLOSED_AFTER_S = 0.5
"""Time for which shedding alone is tried; together with ``SHEDDING_AFTER_S`` a router is closed
within a second, less than the shortest deadline of a streamed request."""
EXTREME_DELAY = 2.0
EXTREME_LINK = 0.9
"""Above both, queues grow faster than shedding can drain them, and the router closes at once."""
LOW_DELAY = 0.5
LOW_LINK = 0.7
LOW_FOR_S = 2.0
"""The level drops after so long below both, so that it doesn't follow each gap between bursts."""
CLOSED_FOR_S = 4.0
"""The balancer probes once a second and removes a router after two misses: a shorter time would
end before callers go elsewhere."""
_MS = 1000


class Level(enum.IntEnum):
    """How overloaded a router is, as in its reports."""

    NORMAL = 0
    SHEDDING = 1
    CLOSED = 2


class Measured(NamedTuple):
    """Measurements of the last half second.

    ``link_share`` is the busier direction's share of the link's capacity, 0 if that is unknown;
    ``bytes_per_s`` are sent and received in both directions together.
    """

    now_unix_s: float
    delay_s: float
    tolerated_s: float
    link_share: float = 0.0
    bytes_per_s: float = 0.0

    @property
    def pressure(self) -> float:
        """The delay as a multiple of the tolerated delay."""
        return self.delay_s / self.tolerated_s


def tolerated_delay_s(goals_ms: Iterable[float]) -> float:
    """Return the delay that callers tolerate, by the declared goals of the routes."""
    shortest_s = min(goals_ms, default=MAX_TOLERATED_S * _MS / GOAL_SHARE) / _MS
    return min(MAX_TOLERATED_S, max(MIN_TOLERATED_S, GOAL_SHARE * shortest_s))


class LevelDecision:
    """The level of one router; it starts at normal."""

    def __init__(self) -> None:
        """Initialize as not overloaded."""
        self.level = Level.NORMAL
        self.changed_unix_s = 0.0
        self._high_since_unix_s: float | None = None
        self._low_since_unix_s: float | None = None

    def update(self, measured: Measured) -> Level:
        """Return the level after a measurement; a single one never changes it."""
        now_unix_s = measured.now_unix_s
        self._high_since_unix_s = _since(self._high_since_unix_s, measured.pressure > 1, now_unix_s)
        low = measured.pressure < LOW_DELAY and measured.link_share < LOW_LINK
        self._low_since_unix_s = _since(self._low_since_unix_s, low, now_unix_s)
        level = self._next(measured)
        if level is not self.level:
            self.level = level
            self.changed_unix_s = now_unix_s
            self._low_since_unix_s = None
        return level

    def _next(self, measured: Measured) -> Level:
        now_unix_s = measured.now_unix_s
        if self._high_since_unix_s is not None:
            high_s = now_unix_s - self._high_since_unix_s
            return max(self.level, self._raised(measured, high_s))
        if self._low_since_unix_s is None or now_unix_s - self._low_since_unix_s < LOW_FOR_S:
            return self.level
        if self.level is Level.CLOSED and now_unix_s - self.changed_unix_s < CLOSED_FOR_S:
            return self.level
        return Level(max(Level.NORMAL, self.level - 1))

    def _raised(self, measured: Measured, high_s: float) -> Level:
        if high_s < SHEDDING_AFTER_S:
            return Level.NORMAL
        extreme = measured.pressure > EXTREME_DELAY and measured.link_share > EXTREME_LINK
        if extreme:
            return Level.CLOSED
        shedding_s = measured.now_unix_s - self.changed_unix_s
        if self.level is Level.SHEDDING and min(high_s, shedding_s) >= CLOSED_AFTER_S:
            return Level.CLOSED
        return Level.SHEDDING


def _since(since_unix_s: float | None, holds: bool, now_unix_s: float) -> float | None:
    if not holds:
        return None
    return now_unix_s if since_unix_s is None else since_unix_s
