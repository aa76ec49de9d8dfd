"""A clock that stands still while this process does."""

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.membership import events


class RunningClock:
    """Tell the seconds that this process was awake, shifted to Unix seconds.

    A process that was paused for a minute has heard nobody for a minute, and
    would declare all others gone in its first moment awake.  The beats ask for
    the time every second or so; a longer gap between two askings was therefore
    a pause (or a step of the machine's clock), and is left out.
    """

    def __init__(self, clock: Clock, longest_gap_s: float) -> None:
        """Read ``clock``; gaps longer than ``longest_gap_s`` are pauses."""
        self._clock = clock
        self._longest_gap_s = longest_gap_s
        self._asked_unix_s: float | None = None
        self._paused_s = 0.0

    def now_s(self) -> float:
        """Return the time awake, as Unix seconds."""
        now_unix_s = self._clock.now_s()
        asked_unix_s = now_unix_s if self._asked_unix_s is None else self._asked_unix_s
        gap_s = now_unix_s - asked_unix_s
        self._asked_unix_s = now_unix_s
        if not 0 <= gap_s <= self._longest_gap_s:
            self._paused_s += gap_s
            events.PAUSED.log(pause_s=round(gap_s, 3))
        return now_unix_s - self._paused_s
