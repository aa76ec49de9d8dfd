"""Setting backend servers aside after failures, and probing them.

A server that failed gets no requests until a deadline, with jitter so that not all routers probe it
simultaneously.  Then a single request probes it: success brings it back, failure sets it aside for
longer.
"""

from random import Random

from endivesaddle.fleet.routing.settings import RoutingSettings

MAX_CONSECUTIVE_FAILURES = 2
"""One failure may be the fault of the request, two in a row are the server's."""
MAX_ASIDE_S = 30.0
JITTER = 0.5
"""Maximum relative jitter of the time aside, so that routers differ."""


class Health:
    """Failures of one server as seen by one router."""

    def __init__(self, settings: RoutingSettings) -> None:
        """Initialize as healthy."""
        self.failures = 0
        self.aside_until_unix_s = 0.0
        self.probe = ''
        self._settings = settings

    @property
    def aside(self) -> bool:
        """Whether the server has failed and no probe has succeeded since."""
        return self.aside_until_unix_s > 0

    def open(self, now_unix_s: float) -> bool:
        """Return whether the server may get a request: it is healthy, or a probe is due."""
        if not self.aside:
            return True
        return now_unix_s >= self.aside_until_unix_s and not self.probe

    def sent(self, key: str) -> None:
        """Use a request as the probe if the server is set aside."""
        if self.aside and not self.probe:
            self.probe = key

    def succeeded(self, key: str) -> bool:
        """Record a success; return whether it brought the server back."""
        self.failures = 0
        if not self.aside:
            return False
        self.aside_until_unix_s = 0
        self.probe = ''
        return True

    def failed(self, key: str, now_unix_s: float, random: Random) -> bool:
        """Record a failure; return whether it set the server aside."""
        self.failures += 1
        if self.probe == key:
            self.probe = ''
        elif self.aside or self.failures < MAX_CONSECUTIVE_FAILURES:
            return False
        self.set_aside(now_unix_s, random)
        return True

    def slow(self, now_unix_s: float, random: Random) -> None:
        """Set a slow server aside, for longer each time that a probe finds it still slow."""
        self.failures = max(MAX_CONSECUTIVE_FAILURES, self.failures + 1)
        self.probe = ''
        self.set_aside(now_unix_s, random)

    def cancel_probe(self, key: str) -> None:
        """Cancel a probe that was never sent."""
        if self.probe == key:
            self.probe = ''

    def set_aside(self, now_unix_s: float, random: Random) -> None:
        """Set the server aside, for longer with each failure in a row."""
        doubled = self._settings.routing_aside_s * 2 ** max(
            0, self.failures - MAX_CONSECUTIVE_FAILURES
        )
        aside_s = min(MAX_ASIDE_S, doubled)
        self.aside_until_unix_s = now_unix_s + aside_s * (1 + JITTER * random.random())
