"""The servers to which this router sent shared prompt parts, to report to the other routers.

Each router sees a fraction of the requests about one subject.  With only its own requests known, a
router sent a part to servers that had to process it although another server had it cached.
"""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routing.backends import ForwardRoutingRequest

MAX_REPORTED_PARTS = 48
"""Maximum of parts in one report to another router: enough for five routers at 100 requests/s.

With many routers, reports are less frequent and omit older parts, so that they stay small."""


class SentPart(NamedTuple):
    """A shared part that was sent to an incarnation of a server, by its name and its birth."""

    server: str
    part: str
    born_unix_ms: int = 0


class SentParts:
    """The latest shared parts that this router sent, ``count`` in total."""

    def __init__(self) -> None:
        """Initialize with no parts."""
        self.count = 0
        self._newest: deque[SentPart] = deque(maxlen=MAX_REPORTED_PARTS)

    def record(self, server: RouteServer, request: ForwardRoutingRequest) -> None:
        """Record the shared parts of a request that is sent to a server."""
        for part, _ in request.parts[:-1]:
            self._newest.append(SentPart(server.lifetime, part, server.born_unix_ms))
            self.count += 1

    def since(self, count: int) -> Sequence[SentPart]:
        """Return the parts sent after the first ``count``."""
        new_count = min(self.count - count, len(self._newest))
        return list(self._newest)[len(self._newest) - new_count :]
