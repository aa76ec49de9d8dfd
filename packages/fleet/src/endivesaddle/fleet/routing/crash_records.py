"""Requests that crash servers: records of them, and holding back those that crashed too many.

Load pattern: one request crashes each server that starts to run it, along with all requests running
there, and its caller retries it repeatedly at any router.  Limits: a few crashes may be chance,
since requests that run beside such a request are lost with it, but not repeatedly without a
response in between; and servers that end together have a common cause.  Without I/O.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from endivesaddle.fleet.routing import crash_events as events
from endivesaddle.fleet.routing.forward_settings import ForwardSettings

RETENTION_S = 600.0
"""A record is dropped this long after its last crash or the end of its hold."""
MAX_HELD_S = 86400.0
MAX_RECORDS = 256
"""Far more than the requests running on one server when it ends; the oldest are dropped."""
MIN_INCIDENTS = 2
"""Servers that end simultaneously may have another cause, such as a loss of power."""
MAX_INCARNATIONS = 32
"""Server incarnations per record; beyond this, those before the last response are dropped."""
MAX_DOUBLINGS = 10
EXPIRY_INTERVAL_S = 1.0
"""Interval between checks for expired records, each of which scans all records."""
LOCAL_SOURCE = 'here'
"""The source of what this instance recorded itself."""


class EndedRun(NamedTuple):
    """When a request started on a server that crashed, and when its connection broke."""

    began_unix_s: float
    broke_unix_s: float

    def merged(self, other: 'EndedRun') -> 'EndedRun':
        """Return the period of both, for several runs on one server."""
        began_unix_s = min(self.began_unix_s, other.began_unix_s)
        return EndedRun(began_unix_s, max(self.broke_unix_s, other.broke_unix_s))


class CrashRecord(NamedTuple):
    """What is known of one request.

    ``ended`` has the server incarnations that ended while they ran it.  Those also in ``answered``
    no longer count, since the request was answered after them.  ``tries`` is how often it was
    tried after being held back, ``number`` the number of the last change on this instance.
    """

    digest: str
    ended: dict[str, EndedRun] = {}  # never changed in place
    answered: frozenset[str] = frozenset()
    held_until_unix_s: float = 0.0
    tries: int = 0
    kept_until_unix_s: float = 0.0
    number: int = 0

    @property
    def crashed_incarnations(self) -> list[str]:
        """The server incarnations that it crashed since it was last answered."""
        return sorted(self.ended.keys() - self.answered)

    @property
    def incidents(self) -> int:
        """The number of successive crashes, where each run began after the previous one broke.

        Servers that lose power together count as crashed by all of their requests.
        """
        runs = sorted(
            (self.ended[incarnation] for incarnation in self.crashed_incarnations), key=_broke
        )
        count = 0
        last_unix_s = 0.0
        for run in runs:
            if run.began_unix_s >= last_unix_s:
                count += 1
                last_unix_s = run.broke_unix_s
        return count


class CrashRecords:
    """The records of one instance.

    Two instances' records of a request are merged into the union of their incarnations, so that
    reports may be lost, late or repeated.
    """

    def __init__(self, settings: ForwardSettings) -> None:
        """Initialize with no records."""
        self.number = 0
        self.listeners: list[Callable[[str], None]] = []
        self._settings = settings
        self._records: dict[str, CrashRecord] = {}
        self._next_expiry_unix_s = 0.0

    def __len__(self) -> int:
        """Return the number of records, usually 0."""
        return len(self._records)

    def find(self, digest: str) -> CrashRecord | None:
        """Return the record of a request, or None."""
        return self._records.get(digest)

    def held_s(self, digest: str, now_unix_s: float) -> float:
        """Return the seconds for which a request is still held back, 0 if it may run."""
        record = self._records.get(digest)
        return max(0.0, record.held_until_unix_s - now_unix_s) if record else 0.0

    def record_crash(self, digest: str, incarnation: str, run: EndedRun, now_unix_s: float) -> None:
        """Record that a server incarnation ended while it ran a request."""
        record = self._merge(CrashRecord(digest, {incarnation: run}), now_unix_s, LOCAL_SOURCE)
        if record is not None:
            events.RAN.log(
                digest=digest,
                server=incarnation,
                ends=len(record.crashed_incarnations),
                moments=record.incidents,
            )
            self._notify(digest)

    def record_success(self, digest: str, now_unix_s: float) -> None:
        """Record a successful response: the request does not crash servers."""
        record = self._records.get(digest)
        if record is not None and record.crashed_incarnations:
            events.ANSWERED.log(digest=digest, ends=len(record.crashed_incarnations))
            answered = record._replace(answered=frozenset(record.ended))
            self._merge(answered, now_unix_s, LOCAL_SOURCE)
            self._notify(digest)

    def merge(self, received: CrashRecord, now_unix_s: float, source: str) -> None:
        """Merge a record from another instance or the store."""
        self._merge(received, now_unix_s, source)

    def since(self, number: int, most: int) -> list[CrashRecord]:
        """Return the first ``most`` records that changed after a number, oldest first."""
        if number == self.number:
            return []
        return [record for record in self._records.values() if record.number > number][:most]

    def dump(self, now_unix_s: float) -> dict[str, dict[str, Any]]:
        """Return the records by digest, for operators."""
        return {
            digest: {
                'ended': record.crashed_incarnations,
                'held_s': round(self.held_s(digest, now_unix_s), 1),
            }
            for digest, record in self._records.items()
        }

    def _merge(self, received: CrashRecord, now_unix_s: float, source: str) -> CrashRecord | None:
        """Merge a record and return the result, None if nothing is new."""
        self._drop_expired(now_unix_s)
        known = self._records.get(received.digest) or CrashRecord(received.digest)
        ended = _merged(known.ended, received.ended)
        answered = known.answered | received.answered
        if (ended, answered) == (known.ended, known.answered):
            return None
        if len(ended) > MAX_INCARNATIONS:
            ended = {
                incarnation: run
                for incarnation, run in ended.items()
                if incarnation not in answered
            }
            answered = frozenset()
        self.number += 1
        record = self._with_hold(
            CrashRecord(
                received.digest,
                ended,
                answered,
                max(known.held_until_unix_s, received.held_until_unix_s),
                max(known.tries, received.tries),
                number=self.number,
            ),
            known,
            now_unix_s,
        )
        self._records.pop(received.digest, None)
        self._records[received.digest] = record
        if len(self._records) > MAX_RECORDS:
            del self._records[_least_valuable(self._records.values()).digest]
        self._log_held(known, record, now_unix_s, source)
        return record

    def _with_hold(self, record: CrashRecord, known: CrashRecord, now_unix_s: float) -> CrashRecord:
        """Return the record with a hold if the request has crashed too many servers.

        After the hold one more attempt is allowed, since the servers may have been repaired; a
        crash in it holds the request back for twice as long.
        """
        held_until_unix_s = 0.0
        tries = record.tries
        if self._is_fatal(record):
            # Bounded, since the store may contain a value of another writer.
            held_until_unix_s = min(record.held_until_unix_s, now_unix_s + MAX_HELD_S)
            if held_until_unix_s <= now_unix_s:
                tries += self._is_fatal(known)
                held_until_unix_s = now_unix_s + self._hold_s(tries)
        kept_until_unix_s = max(now_unix_s, held_until_unix_s) + RETENTION_S
        return record._replace(
            held_until_unix_s=held_until_unix_s, tries=tries, kept_until_unix_s=kept_until_unix_s
        )

    def _is_fatal(self, record: CrashRecord) -> bool:
        """Return whether a request has crashed enough servers, not all of them at once."""
        most = self._settings.crash_ends
        return len(record.crashed_incarnations) >= most and record.incidents >= min(
            most, MIN_INCIDENTS
        )

    def _hold_s(self, tries: int) -> float:
        doublings = min(tries, MAX_DOUBLINGS)
        return min(MAX_HELD_S, self._settings.crash_held_s * 2**doublings)

    def _drop_expired(self, now_unix_s: float) -> None:
        if now_unix_s < self._next_expiry_unix_s:
            return
        self._next_expiry_unix_s = now_unix_s + EXPIRY_INTERVAL_S
        for digest, record in list(self._records.items()):
            if record.kept_until_unix_s < now_unix_s:
                del self._records[digest]

    def _notify(self, digest: str) -> None:
        for listener in self.listeners:
            listener(digest)

    def _log_held(
        self, known: CrashRecord, record: CrashRecord, now_unix_s: float, source: str
    ) -> None:
        held_s = record.held_until_unix_s - now_unix_s
        if known.held_until_unix_s <= now_unix_s and held_s > 0:
            events.HELD.log(
                digest=record.digest,
                servers=record.crashed_incarnations,
                moments=record.incidents,
                tries=record.tries,
                held_s=round(held_s, 1),
                source=source,
            )


def _broke(run: EndedRun) -> float:
    return run.broke_unix_s


def _crash_count(record: CrashRecord) -> int:
    return len(record.crashed_incarnations)


def _merged(known: dict[str, EndedRun], received: dict[str, EndedRun]) -> dict[str, EndedRun]:
    merged = dict(known)
    for incarnation, run in received.items():
        merged[incarnation] = run.merged(merged.get(incarnation, run))
    return merged


def _least_valuable(records: Iterable[CrashRecord]) -> CrashRecord:
    """Return the record to drop first: one with few crashes that changed long ago.

    Records are in the order of their changes.  Usually the first one has a single crash, so that
    not all records are scanned when many servers end at once and thousands of records arrive.
    """
    first = next(iter(records))
    return first if _crash_count(first) <= 1 else min(records, key=_crash_count)
