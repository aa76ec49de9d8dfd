"""Measure the lag of this process's event loop, which shows that its processor is overloaded.

A process that lags also reads messages late: what it knows of other instances is older than it
seems, and its own time limits expire before it reads answers that have already arrived.
"""

import statistics
from collections import deque
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes import store_events as events

CHECK_S = 0.1
"""Time between checks; each check is one wake-up of the process."""
WINDOW_S = 1.0
"""The worst lag within this time is shown."""
LOGGED_S = 0.25
"""A lag of this length is logged: it equals the time limit of a call to an allocator."""


class _Check(NamedTuple):
    """One check: its time, and how late it was."""

    at_unix_s: float
    late_s: float


class LoopLag:
    """Checks ten times per second how late the event loop runs a task."""

    def __init__(self, clock: Clock) -> None:
        """Initialize without measurements."""
        self._clock = clock
        self._checks: deque[_Check] = deque()

    async def run(self) -> None:
        """Check until cancelled, and log each check that is late by ``LOGGED_S`` or more."""
        while True:
            due_unix_s = self._clock.now_s() + CHECK_S
            await anyio.sleep(CHECK_S)
            self._record(self._clock.now_s() - due_unix_s)

    def worst_s(self) -> float:
        """Return the worst lag of the last second, in seconds."""
        self._expire()
        return round(max((check.late_s for check in self._checks), default=0.0), 3)

    def median_s(self, window_s: float) -> float:
        """Return the median lag of the checks within ``window_s``, at most the last second."""
        oldest_unix_s = self._clock.now_s() - window_s
        late_s = [check.late_s for check in self._checks if check.at_unix_s >= oldest_unix_s]
        return statistics.median(late_s) if late_s else 0.0

    def _record(self, late_s: float) -> None:
        self._checks.append(_Check(self._clock.now_s(), late_s))
        self._expire()
        if late_s >= LOGGED_S:
            events.LOOP_LAG.log(late_s=round(late_s, 3))

    def _expire(self) -> None:
        oldest_unix_s = self._clock.now_s() - WINDOW_S
        while self._checks and self._checks[0].at_unix_s < oldest_unix_s:
            self._checks.popleft()
