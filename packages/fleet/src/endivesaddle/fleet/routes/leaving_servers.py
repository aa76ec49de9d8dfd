"""Servers that announced in a response that they are leaving.

Failure: while the store was down, no entry could show that a server was leaving.  The server said
so in its responses, but these were relayed to callers unread, and it kept getting requests.  Later
entries or reports may be older than the response, so an incarnation that has announced that it is
leaving counts as leaving for good.
"""

from collections.abc import Callable
from typing import NamedTuple

MAX_INCARNATIONS = 1024
"""Incarnations that are remembered; in a fleet of 800 servers, all that leave within a day."""

ANSWER = 'answer'
"""The source of what a server announced in a response to this router."""

Listener = Callable[[str, str], None]


class LeavingIncarnation(NamedTuple):
    """An incarnation of a server; if ``born_unix_ms`` is 0, its name has only one incarnation."""

    lifetime: str
    born_unix_ms: int


class LeavingServers:
    """The leaving incarnations that one instance knows; ``count`` numbers them."""

    def __init__(self) -> None:
        """Initialize without any; listeners get the lifetime and the source of each new one."""
        self.count = 0
        self.listeners: list[Listener] = []
        self._incarnations: dict[LeavingIncarnation, int] = {}

    def add(self, incarnation: LeavingIncarnation, source: str) -> None:
        """Record that an incarnation is leaving."""
        if incarnation in self._incarnations:
            return
        self.count += 1
        self._incarnations[incarnation] = self.count
        if len(self._incarnations) > MAX_INCARNATIONS:
            del self._incarnations[next(iter(self._incarnations))]
        for listener in self.listeners:
            listener(incarnation.lifetime, source)

    def is_leaving(self, incarnation: LeavingIncarnation) -> bool:
        """Tell whether an incarnation has announced that it is leaving."""
        return incarnation in self._incarnations

    def since(self, number: int) -> list[LeavingIncarnation]:
        """Return the incarnations added after the first ``number``, the oldest first."""
        if number == self.count:
            return []
        return [incarnation for incarnation, count in self._incarnations.items() if count > number]
