"""A board at a sidecar, on which routers leave words for all others.

Load pattern: many routers.  Each talking with each other, their calls grow with the square of
their number.  A call may wait at the board, and is answered as soon as there are news that the
asker lacks.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes.advertised_limits import AdvertisedLimits
from endivesaddle.fleet.routes.leaving_servers import LeavingServers
from endivesaddle.fleet.routes.peer_updates import PeerUpdates, UpdateSources
from endivesaddle.fleet.routing.crash_records import CrashRecords
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.wire import rpcs
from endivesaddle.wire.routers_pb2 import BoardReply, BoardRequest, NewsMark, Word

GATHER_S = 0.05
"""News that come within this are told together: a server that ends has them for many requests."""
ANSWERS_PER_S = 1000.0
"""Waiting routers that are answered in a second at most, however often there are news."""
LONGEST_WAIT_S = 15.0
KEPT_S = 2.0
"""Words are kept for so long; a router that asks less often misses some, as by a lost call."""


class _Left(NamedTuple):
    """A word that was left, its number, and until when it is kept."""

    number: int
    word: Word
    until_unix_s: float


class ReportAggregator:
    """The words that routers left lately."""

    def __init__(self, clock: Clock, lifetime: str) -> None:
        """Start without words."""
        self._clock = clock
        self._lifetime = lifetime
        self._number = 0
        self._waiting = 0
        self._left: deque[_Left] = deque()
        # Kept as long as by a router: those that start again are told all.
        self._updates = PeerUpdates(
            UpdateSources(CrashRecords(ForwardSettings()), LeavingServers(), AdvertisedLimits()),
            clock,
        )

    def register(self, handlers: Handlers) -> None:
        """Answer the routers' calls."""
        handlers.answer(rpcs.BOARD, self.exchange)

    async def exchange(self, asked: BoardRequest) -> BoardReply:
        """Take in a router's word; tell it news at once, else the others' words after its wait.

        Of each router's words the newest tells its loads; shared parts are told of all of them.
        """
        same = asked.board == self._lifetime
        self._updates.merge(asked.word.news, asked.word.address)
        # They are told from here on, so that they need not go with the word as well.
        asked.word.ClearField('news')
        self._leave(asked.word)
        news_seen = asked.news_seen if same else NewsMark()
        seen = asked.seen if same else 0
        reply = BoardReply(lifetime=self._lifetime, number=seen)
        # With news alone: all are answered at once, and each would be told the words of all.
        heard = asked.wait_s and await self._heard(news_seen, asked.wait_s)
        if not heard and not asked.news_only:
            reply.words.extend(self._since(seen, asked.word.lifetime))
            reply.number = self._number
        reply.news.CopyFrom(self._updates.since(news_seen))
        return reply

    def _since(self, seen: int, lifetime: str) -> Iterable[Word]:
        """Return the words that others left after the number ``seen``, one for each router."""
        words: dict[str, Word] = {}
        for left in self._left:
            if left.number > seen and left.word.lifetime != lifetime:
                _merge(words, left.word)
        return words.values()

    def _leave(self, word: Word) -> None:
        """Keep a word for a while, and forget old ones."""
        now_unix_s = self._clock.now_s()
        while self._left and self._left[0].until_unix_s <= now_unix_s:
            self._left.popleft()
        self._number += 1
        self._left.append(_Left(self._number, word, now_unix_s + KEPT_S))

    async def _heard(self, seen: NewsMark, wait_s: float) -> bool:
        """Wait for news that a reader lacks; False if there are none within ``wait_s``."""
        self._waiting += 1
        try:
            with anyio.move_on_after(min(wait_s, LONGEST_WAIT_S)):
                while not self._updates.lacks(seen):
                    await self._updates.changed()
                    await anyio.sleep(max(GATHER_S, self._waiting / ANSWERS_PER_S))
                return True
        finally:
            self._waiting -= 1
        return False


def _merge(words: dict[str, Word], word: Word) -> None:
    merged = Word()
    merged.CopyFrom(word)
    before = words.pop(word.lifetime, None)
    if before is not None:
        merged.parts.extend(before.parts)
    words[word.lifetime] = merged
