"""The clocks used by all components, so that tests can run in virtual time.

Deadlines are absolute Unix times in seconds (names that end in ``_unix_s``), never
durations, so a delayed message is late at every instance.  No safeguard for budgets or
against a second run depends on synchronized clocks.
"""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """A source of the current time in Unix seconds."""

    def now_s(self) -> float:
        """Return the current time in Unix seconds."""


class WallClock:
    """The wall clock of the machine."""

    def now_s(self) -> float:
        """Return the current time in Unix seconds."""
        return time.time()


class LoopClock:
    """The time of the event loop, shifted to Unix seconds.

    With a loop in virtual time, a whole fleet in one process shares this time.
    """

    def __init__(self, epoch_unix_s: float = 1_700_000_000) -> None:
        """Initialize; ``epoch_unix_s`` corresponds to 0 in the loop's time."""
        self._epoch_unix_s = epoch_unix_s

    def now_s(self) -> float:
        """Return the loop's time as Unix seconds."""
        return self._epoch_unix_s + asyncio.get_running_loop().time()


def left_s(clock: Clock, deadline_unix_s: float) -> float:
    """Return the seconds left until a deadline, at least 0."""
    return max(0, deadline_unix_s - clock.now_s())


class MonotonicClock:
    """The wall clock at the start plus elapsed monotonic time.

    Failure: the wall clock jumps by seconds, and all deadlines have suddenly passed or are
    far in the future.  ``CLOCK_BOOTTIME`` doesn't jump; it also advances while the machine
    is suspended, so a deadline that passes during suspension is recognized as passed.
    """

    def __init__(self) -> None:
        """Initialize with the current time of the wall clock."""
        self._offset_s = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def now_s(self) -> float:
        """Return the current time, in Unix seconds relative to the wall clock at the start."""
        return self._offset_s + time.clock_gettime(time.CLOCK_BOOTTIME)
