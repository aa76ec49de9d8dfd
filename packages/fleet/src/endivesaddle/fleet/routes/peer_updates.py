"""Updates on servers and requests that instances send each other, independent of the store.

They are learned from responses and broken runs and concern all routers: a server that leaves or
advertises a limit, a request that crashes servers.  Each peer is sent what it lacks, and everything
again after it restarted.  Updates that arrive twice or late have no effect.
"""

from collections.abc import Iterable
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes.advertised_limits import AdvertisedLimit, AdvertisedLimits
from endivesaddle.fleet.routes.leaving_servers import LeavingIncarnation, LeavingServers
from endivesaddle.fleet.routing.crash_blame import EndedRun
from endivesaddle.fleet.routing.crash_records import CrashRecord, CrashRecords
from endivesaddle.wire import routers_pb2

MAX_CRASHES = 64
"""Crash records in one message, about 4 KB: as many as run at one server when it crashes.  The
rest follows with the next message."""


class UpdateSources(NamedTuple):
    """The records of one instance that updates are read from and merged into."""

    crashes: CrashRecords
    leaving: LeavingServers
    limits: AdvertisedLimits


class PeerUpdates:
    """The updates that one instance sends to its peers and receives from them."""

    def __init__(self, sources: UpdateSources, clock: Clock) -> None:
        """Send what ``sources`` hold, and merge received updates into them."""
        self._crashes = sources.crashes
        self._leaving = sources.leaving
        self._limits = sources.limits
        self._clock = clock
        self._changed = anyio.Event()

    def has_updates_after(self, mark: routers_pb2.NewsMark) -> bool:
        """Tell whether there are updates after ``mark``."""
        server_updates = mark.left < self._leaving.count or mark.limits < self._limits.count
        return server_updates or bool(self._crashes.since(mark.crashes, 1))

    async def changed(self) -> None:
        """Wait until an update of another instance changed the records."""
        await self._changed.wait()

    def since(self, mark: routers_pb2.NewsMark) -> routers_pb2.News:
        """Return the updates after ``mark``, with the next mark."""
        news = routers_pb2.News(mark=mark)
        crashes = self._crashes.since(mark.crashes, MAX_CRASHES)
        if crashes:
            news.crashes.extend(self._crash_messages(crashes))
            news.mark.crashes = crashes[-1].number
        news.left.extend(_leaving_messages(self._leaving.since(mark.left)))
        news.mark.left = self._leaving.count
        news.limits.extend(self._limit_messages(mark.limits))
        news.mark.limits = self._limits.count
        return news

    def merge(self, news: routers_pb2.News, source: str) -> None:
        """Merge the updates of another instance, named by ``source``."""
        now_unix_s = self._clock.now_s()
        before = self._counts()
        for crash in news.crashes:
            received = CrashRecord(
                crash.digest,
                {
                    incarnation: EndedRun(run.began_unix_s, run.broke_unix_s)
                    for incarnation, run in crash.ended.items()
                },
                frozenset(crash.answered),
                now_unix_s + crash.held_s if crash.held_s > 0 else 0.0,
                crash.tries,
                requests=frozenset(crash.requests),
            )
            self._crashes.merge(received, now_unix_s, source)
        for left in news.left:
            self._leaving.add(LeavingIncarnation(left.lifetime, left.born_unix_ms), source)
        for limit in news.limits:
            observed_unix_s = now_unix_s - max(0.0, limit.age_s)
            self._limits.merge(AdvertisedLimit(limit.life, limit.per_s, observed_unix_s), source)
        if before != self._counts():
            self._changed.set()
            self._changed = anyio.Event()

    def _counts(self) -> tuple[int, int, int]:
        return self._crashes.number, self._leaving.count, self._limits.count

    def _limit_messages(self, number: int) -> Iterable[routers_pb2.LimitWord]:
        now_unix_s = self._clock.now_s()
        for limit in self._limits.since(number):
            yield routers_pb2.LimitWord(
                life=limit.incarnation, per_s=limit.per_s, age_s=now_unix_s - limit.observed_unix_s
            )

    def _crash_messages(self, records: Iterable[CrashRecord]) -> Iterable[routers_pb2.CrashWord]:
        now_unix_s = self._clock.now_s()
        for record in records:
            ended = {
                incarnation: routers_pb2.EndedRun(**run._asdict())
                for incarnation, run in record.ended.items()
            }
            yield routers_pb2.CrashWord(
                digest=record.subject,
                ended=ended,
                answered=sorted(record.answered),
                held_s=max(0.0, record.held_until_unix_s - now_unix_s),
                tries=record.tries,
                requests=sorted(record.requests),
            )


class UpdateCursor:
    """The updates that one peer has received; after a restart it is sent all again."""

    def __init__(self) -> None:
        """Initialize for a peer that has received nothing."""
        self.mark = routers_pb2.NewsMark()
        self._lifetime = ''

    def record_received(self, lifetime: str, mark: routers_pb2.NewsMark) -> None:
        """Record that the peer, in incarnation ``lifetime``, received updates up to ``mark``."""
        if self._lifetime in {'', lifetime}:
            self.mark = mark
        else:
            # The peer has restarted since the last message: it lacks the earlier updates.
            self.mark = routers_pb2.NewsMark()
        self._lifetime = lifetime


def _leaving_messages(incarnations: Iterable[LeavingIncarnation]) -> Iterable[routers_pb2.LeftWord]:
    for leaving in incarnations:
        yield routers_pb2.LeftWord(lifetime=leaving.lifetime, born_unix_ms=leaving.born_unix_ms)
