"""Limits that servers named in answers: the requests a second that one takes from all routers.

A server names its limit in each answer for as long as it is in need.  Of two things that were said,
by whichever router it is told, the later one counts: routers tell each other for how long they know
it, since their clocks may differ.
"""

from collections.abc import Callable
from typing import NamedTuple

from endivesaddle.fleet.routing import forward_events as events

KEPT_S = 30.0
"""A limit counts for so long after an answer last named it: a server that gets no requests can't
say that it is out of need."""
RENEWED_S = 5.0
"""That a limit still holds is told to the others so often."""
LEAST_PER_S = 0.1
"""A lower limit counts as this: without a request now and then nobody heard that it is over."""
NEARLY = 0.1
"""A limit that differs by less is not told at once: a server may name another in each answer."""
MOST_LIVES = 1024
"""Lives that are remembered; of a fleet of 800 servers, all."""

ANSWER = 'answer'
"""The source of what a server said in an answer to this instance."""

Listener = Callable[[str, str], None]


class AdvertisedLimit(NamedTuple):
    """What one life of a server last said; ``per_s`` 0 that it has no limit any more.

    ``number`` tells when it last changed here; the others were told ``told_per_s`` as of
    ``told_unix_s``.
    """

    life: str
    per_s: float
    observed_unix_s: float
    number: int = 0
    told_per_s: float = 0.0
    told_unix_s: float = 0.0

    def changed_by(self, said: 'AdvertisedLimit') -> bool:
        """Tell whether what was said now is another limit than the others were told."""
        return abs(said.per_s - self.told_per_s) > NEARLY * said.per_s


class AdvertisedLimits:
    """What one instance knows; ``count`` numbers the changes."""

    def __init__(self) -> None:
        """Start with none; listeners are told a life, and who told of it."""
        self.count = 0
        self.listeners: list[Listener] = []
        self._limits: dict[str, AdvertisedLimit] = {}

    def __len__(self) -> int:
        """Count the lives that said anything; most of the time there are none."""
        return len(self._limits)

    def per_s(self, life: str, now_unix_s: float) -> float:
        """Return the limit of a life, 0 where it has none."""
        limit = self._limits.get(life)
        if limit is None or now_unix_s - limit.observed_unix_s > KEPT_S:
            return 0.0
        return limit.per_s

    def advertised(self, life: str, per_s: float, now_unix_s: float) -> None:
        """Note that an answer named a limit."""
        self.merge(AdvertisedLimit(life, max(LEAST_PER_S, per_s), now_unix_s), ANSWER)

    def withdrawn(self, life: str, sent_unix_s: float, now_unix_s: float) -> None:
        """Note that an answer to a request that was sent at ``sent_unix_s`` named none.

        Nothing is said by an answer that was begun before the server named its limit: it may come
        after the first one that does.
        """
        limit = self._limits.get(life)
        if limit is not None and limit.per_s and sent_unix_s > limit.observed_unix_s:
            self.merge(AdvertisedLimit(life, 0.0, now_unix_s), ANSWER)

    def merge(self, said: AdvertisedLimit, source: str) -> None:
        """Take in what a life said, unless something later is known."""
        known = self._limits.get(said.life)
        if known is not None and known.observed_unix_s >= said.observed_unix_s:
            return
        if known is None or known.changed_by(said):
            events.LIMIT.log(server=said.life, per_s=said.per_s, source=source)
        elif said.observed_unix_s - known.told_unix_s < RENEWED_S:
            self._limits[said.life] = known._replace(
                per_s=said.per_s, observed_unix_s=said.observed_unix_s
            )
            return
        self._keep(said)
        for listener in self.listeners:
            listener(said.life, source)

    def since(self, number: int) -> list[AdvertisedLimit]:
        """Return what changed after the first ``number`` changes, the oldest first."""
        if number == self.count:
            return []
        return [limit for limit in self._limits.values() if limit.number > number]

    def dump(self, now_unix_s: float) -> dict[str, dict[str, float]]:
        """Return the limits in force, and for how many seconds ago they were named, by life."""
        return {
            life: {
                'per_s': limit.per_s,
                'age_s': round(now_unix_s - limit.observed_unix_s, 2),
            }
            for life, limit in self._limits.items()
            if self.per_s(life, now_unix_s)
        }

    def _keep(self, said: AdvertisedLimit) -> None:
        self.count += 1
        self._limits.pop(said.life, None)
        self._limits[said.life] = said._replace(
            number=self.count, told_per_s=said.per_s, told_unix_s=said.observed_unix_s
        )
        if len(self._limits) > MOST_LIVES:
            del self._limits[next(iter(self._limits))]
