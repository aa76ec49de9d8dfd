"""How late this process gets to its work: the sign that its processor is taken.

A process that is late hears late, too: what it believes of others is older than it seems, and
time limits that it sets pass before it reads answers that are there.
"""

from collections import deque
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes import store_events as events

LOOK_S = 0.1
"""Between looks; each is one wake-up of the process."""
KEPT_S = 1.0
"""The worst of so long is shown."""
TOLD_S = 0.25
"""So much lateness is logged: a keeper has no more time than that for its answer."""


class _Look(NamedTuple):
    """One look: when it was, and how late."""

    at_unix_s: float
    late_s: float


class LoopLag:
    """Looks ten times a second how late it gets its turn."""

    def __init__(self, clock: Clock) -> None:
        """Start in time."""
        self._clock = clock
        self._looks: deque[_Look] = deque()

    async def run(self) -> None:
        """Look until cancelled; each look that is late by ``TOLD_S`` is logged."""
        while True:
            due_unix_s = self._clock.now_s() + LOOK_S
            await anyio.sleep(LOOK_S)
            self._look(self._clock.now_s() - due_unix_s)

    def worst_s(self) -> float:
        """Return the worst lateness of the last second, in seconds."""
        self._forget()
        return round(max((look.late_s for look in self._looks), default=0.0), 3)

    def _look(self, late_s: float) -> None:
        self._looks.append(_Look(self._clock.now_s(), late_s))
        self._forget()
        if late_s >= TOLD_S:
            events.LATE.log(late_s=round(late_s, 3))

    def _forget(self) -> None:
        oldest_unix_s = self._clock.now_s() - KEPT_S
        while self._looks and self._looks[0].at_unix_s < oldest_unix_s:
            self._looks.popleft()
