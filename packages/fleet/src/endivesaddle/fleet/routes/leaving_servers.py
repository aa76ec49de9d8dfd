"""Servers that said in an answer that they leave.

Failure: the store was down, so that no entry told of it; the server said so in its answers, which
went to callers unread, and requests went on to it.  Later words of the store or of other routers
may be older than the answer: a life that has said so leaves for good.
"""

from collections.abc import Callable
from typing import NamedTuple

MOST_LIVES = 1024
"""Lives that are remembered; of a fleet of 800 servers, all that leave within a day."""

ANSWER = 'answer'
"""The source of what a server said in an answer to this router."""

Listener = Callable[[str, str], None]


class LeavingIncarnation(NamedTuple):
    """One life of a server; with ``born_unix_ms`` 0 its name stands for one life alone."""

    lifetime: str
    born_unix_ms: int


class LeavingServers:
    """The lives that one instance knows of; ``count`` numbers them."""

    def __init__(self) -> None:
        """Start with none; listeners are told a lifetime, and who told of it."""
        self.count = 0
        self.listeners: list[Listener] = []
        self._lives: dict[LeavingIncarnation, int] = {}

    def add(self, life: LeavingIncarnation, source: str) -> None:
        """Take in that a life leaves."""
        if life in self._lives:
            return
        self.count += 1
        self._lives[life] = self.count
        if len(self._lives) > MOST_LIVES:
            del self._lives[next(iter(self._lives))]
        for listener in self.listeners:
            listener(life.lifetime, source)

    def said(self, life: LeavingIncarnation) -> bool:
        """Tell whether a life has said that it leaves."""
        return life in self._lives

    def since(self, number: int) -> list[LeavingIncarnation]:
        """Return the lives that came after the first ``number``, the oldest first."""
        if number == self.count:
            return []
        return [life for life, count in self._lives.items() if count > number]
