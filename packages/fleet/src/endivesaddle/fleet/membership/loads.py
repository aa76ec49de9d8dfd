"""Load reports of backend servers, spread within a rate of bytes.

The router that a sidecar beats to takes in its reports and lets one pass only
so often that all reports of the data centre together keep to the rate; from
there they go round the tree unthinned.
"""

from collections.abc import Iterable
from typing import NamedTuple

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.membership.change_log import ChangeLog, Version
from endivesaddle.fleet.membership.settings import MembershipSettings
from endivesaddle.wire import runs_pb2

_FRAME_BYTES = 2
_PREFIXES_MOST = 64


class LoadBook:
    """The last load report of each backend server, as it is spread.

    Only what routing uses is spread: requests running and waiting, whether the
    server leaves, and the changes of its prefix cache.  ``cache_event`` counts
    the spread reports with such changes, so that a receiver that finds a gap in
    it knows that changes are missing.
    """

    def __init__(self, settings: MembershipSettings, clock: Clock, version: Version) -> None:
        """Start without a report."""
        self._settings = settings
        self._clock = clock
        self.reports: ChangeLog[str, runs_pb2.Load] = ChangeLog(version)
        self._waiting: dict[str, CacheChanges] = {}
        self._next_unix_s: dict[str, float] = {}
        self._offered_unix_s: dict[str, float] = {}

    def offer(self, load: runs_pb2.Load, source: str) -> bool:
        """Take in a sidecar's own report; False when it comes too soon to be spread."""
        if load.at_unix_s <= self._offered_unix_s.get(load.server, 0):
            return False
        self._offered_unix_s[load.server] = load.at_unix_s
        changes = self._waiting.setdefault(load.server, CacheChanges({}, {}))
        changes.add(load)
        now_unix_s = self._clock.now_s()
        known = self.reports.find(load.server)
        hurried = known is not None and load.leaving != known.leaving
        if now_unix_s < self._next_unix_s.get(load.server, 0) and not hurried:
            return False
        spread = _spread(load, changes, known.cache_event if known else 0)
        self._waiting.pop(load.server)
        self._next_unix_s[load.server] = now_unix_s + self._spread_s(spread)
        return self._put(spread, source)

    def merge(self, loads: Iterable[runs_pb2.Load], source: str) -> None:
        """Take in reports from a router; an older one is dropped."""
        for load in loads:
            self._put(load, source)

    def forget(self, server: str) -> None:
        """Drop the report of a server whose sidecar is forgotten."""
        self.reports.drop(server)
        self._waiting.pop(server, None)
        self._next_unix_s.pop(server, None)
        self._offered_unix_s.pop(server, None)

    def all(self) -> dict[str, runs_pb2.Load]:
        """Return the last report by backend server."""
        return {load.server: load for load in self.reports}

    def _spread_s(self, spread: runs_pb2.Load) -> float:
        # The beats don't come at exact moments: half of one is no reason to wait
        # for the next.
        whole_bytes = len(self.reports) * (spread.ByteSize() + _FRAME_BYTES)
        return whole_bytes / self._settings.load_bytes_per_s - self._settings.beat_s / 2

    def _put(self, load: runs_pb2.Load, source: str) -> bool:
        known = self.reports.find(load.server)
        if known is not None and known.at_unix_s >= load.at_unix_s:
            return False
        self.reports.put(load.server, load, source)
        return True


class CacheChanges(NamedTuple):
    """Changes of a prefix cache that are still to be spread; hashes in order."""

    cached: dict[int, None]
    evicted: dict[int, None]

    def add(self, load: runs_pb2.Load) -> None:
        """Take in the changes of one more report; the oldest go when there are too many.

        One more than is spread is kept, so that the gap is seen.
        """
        for prefix in load.evicted_prefixes:
            self.cached.pop(prefix, None)
            self.evicted[prefix] = None
        for prefix in load.cached_prefixes:
            self.evicted.pop(prefix, None)
            self.cached[prefix] = None
        for kept in (self.cached, self.evicted):
            while len(kept) > _PREFIXES_MOST + 1:
                kept.pop(next(iter(kept)))


def _spread(load: runs_pb2.Load, changes: CacheChanges, event: int) -> runs_pb2.Load:
    spread = runs_pb2.Load(
        server=load.server,
        at_unix_s=load.at_unix_s,
        running=load.running,
        waiting=load.waiting,
        leaving=load.leaving,
        cache_event=event,
    )
    count = len(changes.cached) + len(changes.evicted)
    if count > _PREFIXES_MOST:
        # Too many to send to all: the gap in the count says that some are missing.
        spread.cache_event = event + 2
    elif count:
        spread.cache_event = event + 1
        spread.cached_prefixes.extend(changes.cached)
        spread.evicted_prefixes.extend(changes.evicted)
    return spread


def mean_name(data_centre: str) -> str:
    """Return the name under which the mean of a data centre's reports goes."""
    return f'mean of {data_centre}'


def mean(data_centre: str, reports: list[runs_pb2.Load], now_unix_s: float) -> runs_pb2.Load:
    """Return one report for all servers of a data centre.

    Routers of other data centres choose among 800 servers; what they need to
    know of far ones is whether it is worth going there at all.
    """
    return runs_pb2.Load(
        server=mean_name(data_centre),
        at_unix_s=now_unix_s,
        running=sum(load.running for load in reports) // len(reports),
        waiting=sum(load.waiting for load in reports) // len(reports),
    )
