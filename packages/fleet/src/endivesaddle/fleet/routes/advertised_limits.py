"""Limits that servers advertise in responses: requests a second, from all routers together.

A server advertises its limit in each response as long as it needs one.  The latest observation by
any router counts.  Routers send each other the age of an observation instead of its time, since
their clocks may differ.
"""

from collections.abc import Callable
from typing import NamedTuple

from endivesaddle.fleet.routing import forward_events as events

KEPT_S = 30.0
"""Time for which a limit is in force after a response last named it: a server that gets no requests
can't advertise that it needs the limit no longer."""
REPORT_AGAIN_S = 5.0
"""Interval at which an unchanged limit is reported to the others again."""
MIN_PER_S = 0.1
"""The least limit that is applied: without any request no router would learn that it ended."""
REPORTED_CHANGE = 0.1
"""Relative change below which a limit is not reported at once, since a server may vary its limit
with each response."""
MAX_INCARNATIONS = 1024
"""Incarnations that are remembered; in a fleet of 800 servers, all."""

ANSWER = 'answer'
"""The source of a limit that a server advertised in a response to this instance."""

Listener = Callable[[str, str], None]


class AdvertisedLimit(NamedTuple):
    """The latest limit of one incarnation of a server; ``per_s`` is 0 after it ended.

    ``number`` is the number of the last change on this instance.  The limit last reported to the
    others is ``reported_per_s``, observed at ``reported_unix_s``.
    """

    incarnation: str
    per_s: float
    observed_unix_s: float
    number: int = 0
    reported_per_s: float = 0.0
    reported_unix_s: float = 0.0

    def changed_by(self, observed: 'AdvertisedLimit') -> bool:
        """Tell whether a new observation differs from the limit last reported to the others."""
        return abs(observed.per_s - self.reported_per_s) > REPORTED_CHANGE * observed.per_s


class AdvertisedLimits:
    """The limits that one instance knows; ``count`` numbers the changes."""

    def __init__(self) -> None:
        """Initialize without any; listeners get the incarnation and the source of each change."""
        self.count = 0
        self.listeners: list[Listener] = []
        self._limits: dict[str, AdvertisedLimit] = {}

    def __len__(self) -> int:
        """Return the number of incarnations with an observation; mostly there are none."""
        return len(self._limits)

    def per_s(self, incarnation: str, now_unix_s: float) -> float:
        """Return the limit of an incarnation, 0 if it has none."""
        limit = self._limits.get(incarnation)
        if limit is None or now_unix_s - limit.observed_unix_s > KEPT_S:
            return 0.0
        return limit.per_s

    def advertised(self, incarnation: str, per_s: float, now_unix_s: float) -> None:
        """Record that a response named a limit."""
        self.merge(AdvertisedLimit(incarnation, max(MIN_PER_S, per_s), now_unix_s), ANSWER)

    def withdrawn(self, incarnation: str, sent_unix_s: float, now_unix_s: float) -> None:
        """Record that the response to a request sent at ``sent_unix_s`` named no limit.

        A response that was begun before the server named its limit proves nothing: it may arrive
        after the first response that names the limit.
        """
        limit = self._limits.get(incarnation)
        if limit is not None and limit.per_s and sent_unix_s > limit.observed_unix_s:
            self.merge(AdvertisedLimit(incarnation, 0.0, now_unix_s), ANSWER)

    def merge(self, observed: AdvertisedLimit, source: str) -> None:
        """Merge an observation, unless a later one is known."""
        known = self._limits.get(observed.incarnation)
        if known is not None and known.observed_unix_s >= observed.observed_unix_s:
            return
        if known is None or known.changed_by(observed):
            events.LIMIT.log(server=observed.incarnation, per_s=observed.per_s, source=source)
        elif observed.observed_unix_s - known.reported_unix_s < REPORT_AGAIN_S:
            self._limits[observed.incarnation] = known._replace(
                per_s=observed.per_s, observed_unix_s=observed.observed_unix_s
            )
            return
        self._keep(observed)
        for listener in self.listeners:
            listener(observed.incarnation, source)

    def since(self, number: int) -> list[AdvertisedLimit]:
        """Return the limits changed after the first ``number`` changes, the oldest first."""
        if number == self.count:
            return []
        return [limit for limit in self._limits.values() if limit.number > number]

    def dump(self, now_unix_s: float) -> dict[str, dict[str, float]]:
        """Return the limits in force and the age of each observation, by incarnation."""
        return {
            incarnation: {
                'per_s': limit.per_s,
                'age_s': round(now_unix_s - limit.observed_unix_s, 2),
            }
            for incarnation, limit in self._limits.items()
            if self.per_s(incarnation, now_unix_s)
        }

    def _keep(self, observed: AdvertisedLimit) -> None:
        self.count += 1
        self._limits.pop(observed.incarnation, None)
        self._limits[observed.incarnation] = observed._replace(
            number=self.count,
            reported_per_s=observed.per_s,
            reported_unix_s=observed.observed_unix_s,
        )
        if len(self._limits) > MAX_INCARNATIONS:
            del self._limits[next(iter(self._limits))]
