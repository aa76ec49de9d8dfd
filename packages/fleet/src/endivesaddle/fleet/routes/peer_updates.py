"""News of servers and requests that instances tell each other, whatever the store does.

They come from answers and broken runs, and concern all routers: a server that leaves or names a
limit, a request that ends servers.  Each reader is told what it lacks, its next life all anew; what
is told twice or late changes nothing.
"""

from collections.abc import Iterable
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes.advertised_limits import AdvertisedLimit, AdvertisedLimits
from endivesaddle.fleet.routes.leaving_servers import LeavingIncarnation, LeavingServers
from endivesaddle.fleet.routing.crash_records import CrashRecord, CrashRecords, EndedRun
from endivesaddle.wire import routers_pb2

MOST_CRASHES = 64
"""Records in one word, some 4 KB: what ran at one server when it ended. The rest goes with the
next word."""


class UpdateSources(NamedTuple):
    """What one instance believes that it tells others, and takes from them."""

    crashes: CrashRecords
    left: LeavingServers
    limits: AdvertisedLimits


class PeerUpdates:
    """What one instance knows, as it tells it to others and hears it from them."""

    def __init__(self, sources: UpdateSources, clock: Clock) -> None:
        """Tell what the sources hold, and add to them."""
        self._crashes = sources.crashes
        self._left = sources.left
        self._limits = sources.limits
        self._clock = clock
        self._changed = anyio.Event()

    def lacks(self, mark: routers_pb2.NewsMark) -> bool:
        """Tell whether a reader with this mark lacks any."""
        lacks_servers = mark.left < self._left.count or mark.limits < self._limits.count
        return lacks_servers or bool(self._crashes.since(mark.crashes, 1))

    async def changed(self) -> None:
        """Wait until another instance has told something new."""
        await self._changed.wait()

    def since(self, mark: routers_pb2.NewsMark) -> routers_pb2.News:
        """Return what came after a reader's mark, with the next mark."""
        news = routers_pb2.News(mark=mark)
        crashes = self._crashes.since(mark.crashes, MOST_CRASHES)
        if crashes:
            news.crashes.extend(self._crash_words(crashes))
            news.mark.crashes = crashes[-1].number
        news.left.extend(_left_words(self._left.since(mark.left)))
        news.mark.left = self._left.count
        news.limits.extend(self._limit_words(mark.limits))
        news.mark.limits = self._limits.count
        return news

    def merge(self, news: routers_pb2.News, source: str) -> None:
        """Take in what another instance told."""
        now_unix_s = self._clock.now_s()
        before = self._counts()
        for word in news.crashes:
            told = CrashRecord(
                word.digest,
                {
                    life: EndedRun(run.began_unix_s, run.broke_unix_s)
                    for life, run in word.ended.items()
                },
                frozenset(word.answered),
                now_unix_s + word.held_s if word.held_s > 0 else 0.0,
                word.tries,
            )
            self._crashes.merge(told, now_unix_s, source)
        for left in news.left:
            self._left.add(LeavingIncarnation(left.lifetime, left.born_unix_ms), source)
        for limit in news.limits:
            observed_unix_s = now_unix_s - max(0.0, limit.age_s)
            self._limits.merge(AdvertisedLimit(limit.life, limit.per_s, observed_unix_s), source)
        if before != self._counts():
            self._changed.set()
            self._changed = anyio.Event()

    def _counts(self) -> tuple[int, int, int]:
        return self._crashes.number, self._left.count, self._limits.count

    def _limit_words(self, number: int) -> Iterable[routers_pb2.LimitWord]:
        now_unix_s = self._clock.now_s()
        for limit in self._limits.since(number):
            yield routers_pb2.LimitWord(
                life=limit.life, per_s=limit.per_s, age_s=now_unix_s - limit.observed_unix_s
            )

    def _crash_words(self, records: Iterable[CrashRecord]) -> Iterable[routers_pb2.CrashWord]:
        now_unix_s = self._clock.now_s()
        for record in records:
            ended = {
                life: routers_pb2.EndedRun(**run._asdict()) for life, run in record.ended.items()
            }
            yield routers_pb2.CrashWord(
                digest=record.digest,
                ended=ended,
                answered=sorted(record.answered),
                held_s=max(0.0, record.held_until_unix_s - now_unix_s),
                tries=record.tries,
            )


class UpdateCursor:
    """How far one other instance has been told; its next life is told all anew."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self.mark = routers_pb2.NewsMark()
        self._lifetime = ''

    def took(self, lifetime: str, mark: routers_pb2.NewsMark) -> None:
        """Note that the reader, in this life, took in news up to a mark."""
        if self._lifetime in {'', lifetime}:
            self.mark = mark
        else:
            # Another life answered than was told before: it lacks what came earlier.
            self.mark = routers_pb2.NewsMark()
        self._lifetime = lifetime


def _left_words(lives: Iterable[LeavingIncarnation]) -> Iterable[routers_pb2.LeftWord]:
    for life in lives:
        yield routers_pb2.LeftWord(lifetime=life.lifetime, born_unix_ms=life.born_unix_ms)
