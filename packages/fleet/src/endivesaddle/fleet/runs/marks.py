"""Attempts that were cancelled before they came: they won't start any more."""

from endivesaddle.fleet.clock import Clock


class Marks:
    """Cancelled attempts by request key, each until a stored deadline.

    A router whose START got no answer can't tell whether it arrived.  It cancels,
    and where the sidecar knows of no run the mark keeps the START that is still
    on its way from running: only then "not run" is the truth.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with none."""
        self._clock = clock
        self._marks: dict[str, tuple[int, float]] = {}

    def __len__(self) -> int:
        """Return how many there are."""
        return len(self._marks)

    def plant(self, request_key: str, attempt: int, until_unix_s: float) -> None:
        """Let no attempt up to this one start until a deadline."""
        last_attempt, last_unix_s = self._marks.get(request_key, (0, 0.0))
        self._marks[request_key] = (
            max(attempt, last_attempt),
            max(until_unix_s, last_unix_s),
        )

    def covers(self, request_key: str, attempt: int) -> bool:
        """Tell whether an attempt was cancelled before it came."""
        mark = self._marks.get(request_key)
        return mark is not None and attempt <= mark[0]

    def sweep(self) -> None:
        """Forget marks whose deadline has passed."""
        now_unix_s = self._clock.now_s()
        passed = [key for key, mark in self._marks.items() if mark[1] < now_unix_s]
        for key in passed:
            self._marks.pop(key)
