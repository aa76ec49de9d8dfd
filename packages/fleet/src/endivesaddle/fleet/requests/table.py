"""The table of one holder's claims by request key, bounded and with expiry."""

import heapq
from collections.abc import Iterator
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.requests import states
from endivesaddle.fleet.requests.refused_claims import RefusedClaims
from endivesaddle.fleet.requests.settings import RequestSettings
from endivesaddle.wire import holders_pb2

PACK_AFTER_S = 30.0
"""How long steps may still be added to an ended record, by late reports of sidecars."""


class Lost(NamedTuple):
    """A dispatched attempt that was given up although it may have run."""

    attempt: int
    server: str
    sidecar: str
    incarnation: int


class Entry:
    """One claim: its record, and the state that only its holder needs.

    ``calls`` are the callers' calls that wait for the outcome, ``owner`` is the one that
    was granted the claim, ``withdrawn`` are those that will not start the attempt any more.
    ``reported_tokens`` is the usage of an attempt that gave no answer, or -1; it is billed
    if no later attempt gives one. ``lost`` is the last attempt that was given up although
    it may have run. ``billed_elsewhere`` is set if an earlier run of the request is billed.
    ``billed`` is set once the usage was settled in the budget.
    """

    __slots__ = (
        'calls',
        'owner',
        'withdrawn',
        'reported_tokens',
        'billed_elsewhere',
        'lost',
        'billed',
        '_lock',
        '_record',
        '_packed',
    )

    def __init__(self, record: holders_pb2.Record) -> None:
        """Initialize from a record."""
        self._record: holders_pb2.Record | None = record
        self._packed = b''
        self.calls: frozenset[str] = frozenset()
        self.owner = ''
        self.withdrawn: frozenset[str] = frozenset()
        self.reported_tokens = -1
        self.billed_elsewhere = False
        self.lost: Lost | None = None
        self.billed = record.state in {states.ENDED, states.REFUSED}
        self._lock: anyio.Lock | None = None

    @property
    def lock(self) -> anyio.Lock:
        """The lock for dispatches; created on demand, since the many ended claims need none."""
        if self._lock is None:
            self._lock = anyio.Lock()
        return self._lock

    @property
    def record(self) -> holders_pb2.Record:
        """The record; once packed, a copy of it, whose changes are not kept."""
        if self._record is None:
            return holders_pb2.Record.FromString(self._packed)
        return self._record

    @property
    def packed(self) -> bool:
        """Tell whether only the serialized record is kept."""
        return self._record is None

    @property
    def may_have_run(self) -> bool:
        """Tell whether an attempt that gave no answer may have run."""
        return self.lost is not None or self.reported_tokens >= 0

    def mark_lost(self) -> None:
        """Save the current attempt of the record as one that may have run."""
        record = self.record
        self.lost = Lost(record.attempt, record.server, record.sidecar, record.sidecar_incarnation)

    def restore_attempt(self, lost: Lost) -> None:
        """Make a lost attempt the current one of the record again: it gave the answer."""
        record = self.record
        record.attempt = lost.attempt
        record.server = lost.server
        record.sidecar = lost.sidecar
        record.sidecar_incarnation = lost.incarnation

    def pack(self) -> None:
        """Serialize an ended claim to a fraction of its memory: thousands are kept."""
        self._packed = self.record.SerializeToString()
        self._record = None
        self.calls = frozenset()
        self.withdrawn = frozenset()
        self._lock = None

    @property
    def open(self) -> bool:
        """Tell whether the claim has no outcome yet."""
        return self.record.state in {states.CLAIMED, states.DISPATCHED}


class Table:
    """Entries by request key, and a schedule of the next check of each."""

    def __init__(self, settings: RequestSettings, clock: Clock) -> None:
        """Initialize empty; ``refused`` keeps the refusals of claims without an entry."""
        self._settings = settings
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._schedule: list[tuple[float, str]] = []
        self.refused = RefusedClaims(settings.refused_records)

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over a copy of the entries."""
        return iter(list(self._entries.values()))

    def find(self, request_key: str) -> Entry | None:
        """Return the entry of a request, or None."""
        return self._entries.get(request_key)

    def full(self) -> bool:
        """Tell whether the table has no room for another request.

        A claim is then refused: evicting an older request instead could let that request
        run a second time.
        """
        return len(self._entries) >= self._settings.max_records

    def add(self, record: holders_pb2.Record) -> Entry:
        """Add the entry of a request, replacing the one it may have."""
        entry = Entry(record)
        if entry.open and not record.deadline_unix_s:
            # Reported by a sidecar after a takeover; its end will be reported by then.
            record.deadline_unix_s = self._clock.now_s() + self._settings.settle_until_s
        self._entries[record.request_key] = entry
        self.schedule(record.request_key, self.due_unix_s(entry))
        return entry

    def drop(self, request_key: str) -> None:
        """Remove the entry of a request."""
        self._entries.pop(request_key, None)

    def due_unix_s(self, entry: Entry) -> float:
        """Return when an entry has to be checked next, to close, pack or expire it."""
        record = entry.record
        if entry.open:
            return max(record.deadline_unix_s, record.claimed_unix_s) + self._settings.call_s
        if not entry.billed:
            return self._clock.now_s() + self._settings.unasked_every_s
        if not entry.packed:
            return record.ended_unix_s + PACK_AFTER_S
        return record.ended_unix_s + self.keep_s(record)

    def keep_s(self, record: holders_pb2.Record) -> float:
        """Return how long the entry of a request is kept after its end, in seconds."""
        settings = self._settings
        return settings.keep_s if record.may_repeat else settings.keep_once_s

    def schedule(self, request_key: str, at_unix_s: float) -> None:
        """Schedule a check of an entry."""
        heapq.heappush(self._schedule, (at_unix_s, request_key))

    def due(self) -> Iterator[Entry]:
        """Yield the entries whose scheduled check is due."""
        now_unix_s = self._clock.now_s()
        while self._schedule and self._schedule[0][0] <= now_unix_s:
            entry = self._entries.get(heapq.heappop(self._schedule)[1])
            if entry is not None:
                yield entry
