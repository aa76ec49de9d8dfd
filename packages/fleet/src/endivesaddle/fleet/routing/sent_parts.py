"""Which shared parts of prompts went where, for the other routers to know.

Each router sees a fraction of the requests about one subject.  Going by its own alone it
sent a part to servers that had to read it, though another held it already.
"""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from endivesaddle.fleet.routing.backends import ForwardRoutingRequest

MOST_TOLD = 48
"""Parts in one word to another router: what five routers send at 100 requests a second.

With many routers the words are fewer and leave out the older ones, so that they stay small."""


class SentPart(NamedTuple):
    """A shared part that went to a server."""

    server: str
    part: str


class SentParts:
    """The newest shared parts that this router sent; ``count`` numbers them."""

    def __init__(self) -> None:
        """Start with none."""
        self.count = 0
        self._newest: deque[SentPart] = deque(maxlen=MOST_TOLD)

    def note(self, server: str, request: ForwardRoutingRequest) -> None:
        """Take in the shared parts of a request that goes to a server."""
        for part, _ in request.parts[:-1]:
            self._newest.append(SentPart(server, part))
            self.count += 1

    def since(self, count: int) -> Sequence[SentPart]:
        """Return those that came after the first ``count``."""
        fresh = min(self.count - count, len(self._newest))
        return list(self._newest)[len(self._newest) - fresh :]
