"""The claims of one holder, by request key, bounded and kept until a stored deadline."""

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
"""How long an ended record may still be given steps, by a late sidecar's report."""


class Lost(NamedTuple):
    """A dispatched attempt that was given up and may have run."""

    attempt: int
    server: str
    sidecar: str
    incarnation: int


class Entry:
    """One claim: its record and what only its holder needs to know.

    ``calls`` are the callers' calls that wait for the outcome, ``owner`` the one
    that was granted the claim, ``withdrawn`` those that will not start the attempt
    any more.  ``reported_tokens`` is the usage of an attempt that gave no answer; it
    is billed when no later attempt gives one.  ``lost`` is the last attempt that was
    given up though it may have run.  ``billed_elsewhere`` tells that an earlier run of it is
    billed.  ``billed`` is set once the budget was settled.
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
        """Start with a record."""
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
        """The lock around a dispatch; ended claims are many and need none."""
        if self._lock is None:
            self._lock = anyio.Lock()
        return self._lock

    @property
    def record(self) -> holders_pb2.Record:
        """The record; once packed a copy, which can't be changed any more."""
        if self._record is None:
            return holders_pb2.Record.FromString(self._packed)
        return self._record

    @property
    def packed(self) -> bool:
        """Tell whether the record is packed."""
        return self._record is None

    @property
    def may_have_run(self) -> bool:
        """Tell whether an attempt that was given up may have run."""
        return self.lost is not None or self.reported_tokens >= 0

    def mark_lost(self) -> None:
        """Remember the attempt that the record names as one that may have run."""
        record = self.record
        self.lost = Lost(record.attempt, record.server, record.sidecar, record.sidecar_incarnation)

    def restore_attempt(self, lost: Lost) -> None:
        """Name a given up attempt in the record again: it is the one that answered."""
        record = self.record
        record.attempt = lost.attempt
        record.server = lost.server
        record.sidecar = lost.sidecar
        record.sidecar_incarnation = lost.incarnation

    def pack(self) -> None:
        """Keep an ended claim in a fraction of its memory: thousands are remembered."""
        self._packed = self.record.SerializeToString()
        self._record = None
        self.calls = frozenset()
        self.withdrawn = frozenset()
        self._lock = None

    @property
    def open(self) -> bool:
        """Tell whether the outcome is still to come."""
        return self.record.state in {states.CLAIMED, states.DISPATCHED}


class Table:
    """Entries by request key, and an agenda of when to look at each again."""

    def __init__(self, settings: RequestSettings, clock: Clock) -> None:
        """Start empty; ``refused`` is what was told of claims that left no entry."""
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
        """Return the entry of a request, if it is remembered."""
        return self._entries.get(request_key)

    def full(self) -> bool:
        """Tell whether nothing more can be remembered.

        A claim is then refused: forgetting an older request instead could let it
        run a second time.
        """
        return len(self._entries) >= self._settings.max_records

    def add(self, record: holders_pb2.Record) -> Entry:
        """Remember a request, in place of what was known of it."""
        entry = Entry(record)
        if entry.open and not record.deadline_unix_s:
            # As sidecars report it after a takeover: its end will be told by then.
            record.deadline_unix_s = self._clock.now_s() + self._settings.settle_until_s
        self._entries[record.request_key] = entry
        self.schedule(record.request_key, self.due_unix_s(entry))
        return entry

    def drop(self, request_key: str) -> None:
        """Forget a request."""
        self._entries.pop(request_key, None)

    def due_unix_s(self, entry: Entry) -> float:
        """Return when to look at an entry again: to close it, or to forget it."""
        record = entry.record
        if entry.open:
            return max(record.deadline_unix_s, record.claimed_unix_s) + self._settings.call_s
        if not entry.billed:
            return self._clock.now_s() + self._settings.unasked_every_s
        if not entry.packed:
            return record.ended_unix_s + PACK_AFTER_S
        return record.ended_unix_s + self.keep_s(record)

    def keep_s(self, record: holders_pb2.Record) -> float:
        """Return how long a request is remembered after its end."""
        settings = self._settings
        return settings.keep_s if record.may_repeat else settings.keep_once_s

    def schedule(self, request_key: str, at_unix_s: float) -> None:
        """Put a look at an entry on the agenda."""
        heapq.heappush(self._schedule, (at_unix_s, request_key))

    def due(self) -> Iterator[Entry]:
        """Yield the entries that are to be looked at by now."""
        now_unix_s = self._clock.now_s()
        while self._schedule and self._schedule[0][0] <= now_unix_s:
            entry = self._entries.get(heapq.heappop(self._schedule)[1])
            if entry is not None:
                yield entry
