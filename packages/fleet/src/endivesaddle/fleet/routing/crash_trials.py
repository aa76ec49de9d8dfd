"""Trials of what is held back: one request at one router, until its outcome is known everywhere."""

from collections.abc import Iterable

import xxhash

INTERVAL_S = 1.0
"""Time in which few routers hear of the outcome of a trial."""
INTERVALS_PER_S = 20.0
"""Many routers hear of it later, as they ask an aggregator in turn."""
OUTCOME_S = 10.0
"""A trial without an outcome after this long was lost for another reason."""


class Trials:
    """The trials of one router, which takes its turn among all routers."""

    def __init__(self) -> None:
        """Initialize for a router that knows no others."""
        self._own = ''
        self._others: tuple[str, ...] = ()
        self._begun: dict[str, tuple[float, float]] = {}

    @property
    def interval_s(self) -> float:
        """The time between the turns of two routers."""
        return max(INTERVAL_S, len(self._others) / INTERVALS_PER_S)

    def set_routers(self, own: str, others: Iterable[str]) -> None:
        """Take turns with the routers at these addresses."""
        self._own = own
        self._others = tuple(others)

    def begin(self, subject: str, due_unix_s: float, now_unix_s: float) -> bool:
        """Return whether a request may be sent as a trial of a subject that is due since a time."""
        due, begun_unix_s = self._begun.get(subject, (0.0, 0.0))
        if due == due_unix_s and now_unix_s < begun_unix_s + OUTCOME_S:
            return False
        if now_unix_s < due_unix_s + self._turn(subject) * self.interval_s:
            return False
        self._begun[subject] = (due_unix_s, now_unix_s)
        return True

    def forget(self, subject: str) -> None:
        """Drop the trial of a subject without a record."""
        self._begun.pop(subject, None)

    def _turn(self, subject: str) -> int:
        """Return the number of routers whose turn comes first."""
        own = _weight(subject, self._own)
        return sum(_weight(subject, other) < own for other in self._others)


def _weight(subject: str, address: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{subject}/{address}'.encode())
