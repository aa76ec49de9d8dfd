"""The clock that everything reads, so that tests run in virtual time.

Deadlines are stored as Unix seconds (fields that end in ``_unix_s``), never as
durations: a message that was late is then late everywhere.  No safeguard that
keeps a budget or prevents a second run depends on clocks that agree.
"""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Tell the time in Unix seconds."""

    def now_s(self) -> float:
        """Return the time now, in Unix seconds."""


class WallClock:
    """Read the machine's clock."""

    def now_s(self) -> float:
        """Return the time now, in Unix seconds."""
        return time.time()


class LoopClock:
    """Read the event loop's time, shifted to look like Unix seconds.

    With a loop in virtual time the whole fleet in one process agrees on it.
    """

    def __init__(self, epoch_unix_s: float = 1_700_000_000) -> None:
        """Start at ``epoch_unix_s`` when the loop's time is zero."""
        self._epoch_unix_s = epoch_unix_s

    def now_s(self) -> float:
        """Return the loop's time as Unix seconds."""
        return self._epoch_unix_s + asyncio.get_running_loop().time()


def left_s(clock: Clock, deadline_unix_s: float) -> float:
    """Return the seconds left until a deadline, at least 0."""
    return max(0, deadline_unix_s - clock.now_s())


class MonotonicClock:
    """Count on from the wall clock at the start, by the clock that no step of it moves.

    Failure: the time of day jumps by seconds, and every deadline is over or far
    off at once.  The boot time goes on while a machine is suspended, so that a
    deadline that passed meanwhile is seen as passed.
    """

    def __init__(self) -> None:
        """Start at the wall clock's time."""
        self._offset_s = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)

    def now_s(self) -> float:
        """Return the time now, in Unix seconds as of the start."""
        return self._offset_s + time.clock_gettime(time.CLOCK_BOOTTIME)
