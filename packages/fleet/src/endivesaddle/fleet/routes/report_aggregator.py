"""An aggregator at a sidecar that collects the reports of routers and hands them to all others.

Load pattern: many routers.  If every router called every other, the number of calls would grow with
the square of the number of routers.  A call to the aggregator may wait, and is answered as soon as
there are updates that the caller lacks.
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
from endivesaddle.wire.routers_pb2 import BoardReply, BoardRequest, NewsMark
from endivesaddle.wire.routers_pb2 import Word as RouterReport

COALESCE_S = 0.05
"""Updates that arrive within this are sent together: a server that crashes causes many at once."""
MAX_ANSWERS_PER_S = 1000.0
"""Limit on answers to waiting routers per second, however often there are updates."""
MAX_WAIT_S = 15.0
KEPT_S = 2.0
"""Retention of reports; a router that polls less often misses some, as it does by a lost call."""


class _StoredReport(NamedTuple):
    """A stored report, its number, and until when it is kept."""

    number: int
    report: RouterReport
    until_unix_s: float


class ReportAggregator:
    """The recent reports of all routers."""

    def __init__(self, clock: Clock, lifetime: str) -> None:
        """Initialize without reports; ``lifetime`` identifies this aggregator to routers."""
        self._clock = clock
        self._lifetime = lifetime
        self._number = 0
        self._waiting = 0
        self._reports: deque[_StoredReport] = deque()
        # Kept as long as at a router, so that routers that restart are sent all of them.
        self._updates = PeerUpdates(
            UpdateSources(
                CrashRecords(ForwardSettings(), decides=False), LeavingServers(), AdvertisedLimits()
            ),
            clock,
        )

    def register(self, handlers: Handlers) -> None:
        """Answer the routers' calls."""
        handlers.answer(rpcs.BOARD, self.exchange)

    async def exchange(self, request: BoardRequest) -> BoardReply:
        """Store a router's report; return updates at once, or the others' reports after its wait.

        Of several reports of a router, the newest gives its loads; the shared prompt parts of all
        of them are returned.
        """
        same_incarnation = request.board == self._lifetime
        self._updates.merge(request.word.news, request.word.address)
        # From here on the aggregator sends them itself, so the stored report need not hold them.
        request.word.ClearField('news')
        self._store(request.word)
        news_seen = request.news_seen if same_incarnation else NewsMark()
        seen = request.seen if same_incarnation else 0
        reply = BoardReply(lifetime=self._lifetime, number=seen)
        # Updates are returned without reports: all waiting routers are answered at once, and each
        # answer would hold the reports of all.
        updated = request.wait_s and await self._wait_for_updates(news_seen, request.wait_s)
        if not updated and not request.news_only:
            reply.words.extend(self._since(seen, request.word.lifetime))
            reply.number = self._number
        reply.news.CopyFrom(self._updates.since(news_seen))
        return reply

    def _since(self, seen: int, lifetime: str) -> Iterable[RouterReport]:
        """Return the reports of others after the number ``seen``, one for each router."""
        reports: dict[str, RouterReport] = {}
        for stored in self._reports:
            if stored.number > seen and stored.report.lifetime != lifetime:
                _merge(reports, stored.report)
        return reports.values()

    def _store(self, report: RouterReport) -> None:
        """Store a report, and drop expired ones."""
        now_unix_s = self._clock.now_s()
        while self._reports and self._reports[0].until_unix_s <= now_unix_s:
            self._reports.popleft()
        self._number += 1
        self._reports.append(_StoredReport(self._number, report, now_unix_s + KEPT_S))

    async def _wait_for_updates(self, seen: NewsMark, wait_s: float) -> bool:
        """Wait for updates after ``seen``; return False if there are none within ``wait_s``."""
        self._waiting += 1
        try:
            with anyio.move_on_after(min(wait_s, MAX_WAIT_S)):
                while not self._updates.has_updates_after(seen):
                    await self._updates.changed()
                    await anyio.sleep(max(COALESCE_S, self._waiting / MAX_ANSWERS_PER_S))
                return True
        finally:
            self._waiting -= 1
        return False


def _merge(reports: dict[str, RouterReport], report: RouterReport) -> None:
    merged = RouterReport()
    merged.CopyFrom(report)
    before = reports.pop(report.lifetime, None)
    if before is not None:
        merged.parts.extend(before.parts)
    reports[report.lifetime] = merged
