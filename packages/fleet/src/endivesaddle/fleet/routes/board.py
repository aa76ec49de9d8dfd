"""A board at a sidecar, on which routers leave words for all others.

Load pattern: many routers.  Each talking with each other, 22 of them make up to 440 calls a
second and hear of each other once in a second; by the board it is 40, and twice a second.
"""

from collections import deque
from typing import NamedTuple

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes.left_servers import LeftServers
from endivesaddle.fleet.routes.news import News
from endivesaddle.fleet.routing.crash_records import CrashRecords
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.wire import rpcs
from endivesaddle.wire.routers_pb2 import BoardReply, BoardRequest, NewsMark, Word

KEPT_S = 2.0
"""Words are kept for so long; a router that asks less often misses some, as by a lost call."""


class _Left(NamedTuple):
    """A word that was left, its number, and until when it is kept."""

    number: int
    word: Word
    until_unix_s: float


class Board:
    """The words that routers left lately."""

    def __init__(self, clock: Clock, lifetime: str) -> None:
        """Start without words."""
        self._clock = clock
        self._lifetime = lifetime
        self._number = 0
        self._left: deque[_Left] = deque()
        # Kept as long as by a router: those that start again are told all.
        self._news = News(CrashRecords(ForwardSettings()), LeftServers(), clock)

    def register(self, handlers: Handlers) -> None:
        """Answer the routers' calls."""
        handlers.answer(rpcs.BOARD, self.exchange)

    async def exchange(self, asked: BoardRequest) -> BoardReply:
        """Take in a router's word, and tell it those of others that it has not seen.

        Of each router's words the newest tells its loads; shared parts are told of all of them.
        """
        now_unix_s = self._clock.now_s()
        while self._left and self._left[0].until_unix_s <= now_unix_s:
            self._left.popleft()
        words: dict[str, Word] = {}
        same = asked.board == self._lifetime
        seen = asked.seen if same else 0
        for left in self._left:
            if left.number > seen and left.word.lifetime != asked.word.lifetime:
                _merge(words, left.word)
        reply = BoardReply(words=words.values(), lifetime=self._lifetime)
        self._news.hear(asked.word.news, asked.word.address)
        # They are told from here on, so that they need not go with the word as well.
        asked.word.ClearField('news')
        reply.news.CopyFrom(self._news.since(asked.news_seen if same else NewsMark()))
        self._number += 1
        reply.number = self._number
        self._left.append(_Left(self._number, asked.word, now_unix_s + KEPT_S))
        return reply


def _merge(words: dict[str, Word], word: Word) -> None:
    merged = Word()
    merged.CopyFrom(word)
    before = words.pop(word.lifetime, None)
    if before is not None:
        merged.parts.extend(before.parts)
    words[word.lifetime] = merged
