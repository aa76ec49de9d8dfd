"""Periods in which a decision holds, logged once when they begin and once when they end."""

from typing import Any

from endivesaddle.fleet.events import Event

QUIET_S = 1.0
"""A period has ended when it was not observed for this long; bursts of load last 3 to 7 s."""


class Period:
    """One kind of period of one service."""

    def __init__(self, service: str, began: Event, ended: Event) -> None:
        """Initialize as not observed."""
        self.count = 0
        self._service = service
        self._began = began
        self._ended = ended
        self._began_unix_s = 0.0
        self._seen_unix_s = 0.0

    def observe(self, now_unix_s: float, **inputs: Any) -> None:
        """Record an occurrence; ``inputs`` of the first one are logged."""
        if not self.count:
            self._began_unix_s = now_unix_s
            self._began.log(service=self._service, **inputs)
        self.count += 1
        self._seen_unix_s = now_unix_s

    def tick(self, now_unix_s: float, still: bool = False) -> None:
        """End the period if it is over; ``still`` if it goes on without new occurrences."""
        if still:
            self._seen_unix_s = now_unix_s
        if self.count and now_unix_s - self._seen_unix_s >= QUIET_S:
            lasted_s = round(self._seen_unix_s - self._began_unix_s, 2)
            self._ended.log(service=self._service, requests=self.count, lasted_s=lasted_s)
            self.count = 0
