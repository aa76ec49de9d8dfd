"""Requests under which processes of servers ended; one that ended too many is held back.

Load pattern: one request ends each server that begins to run it, with all that run beside it, and
its caller sends it again and again, at any router.  Limits: a few ends may be chance, as what runs
beside such a request is lost with it, but not again and again without an answer between.
Decisions only, no input or output.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from endivesaddle.fleet.routing import crash_events as events
from endivesaddle.fleet.routing.forward_settings import ForwardSettings

KEPT_S = 600.0
"""A record is forgotten so long after its last end, or after it was held back."""
LONGEST_HELD_S = 86400.0
MOST_RECORDS = 256
"""Far more than run at one server when it ends; the oldest yield."""
MOST_LIVES = 32
"""Lives of servers in one record; beyond these what was answered is left out."""


class CrashRecord(NamedTuple):
    """What is known of one request.

    ``ended`` are the lives of servers that ended while they ran it; those of them that are
    ``answered`` too count no more, as the request was answered after them.  ``number`` tells when
    the record last changed here.
    """

    digest: str
    ended: frozenset[str] = frozenset()
    answered: frozenset[str] = frozenset()
    held_until_unix_s: float = 0.0
    number: int = 0

    @property
    def ends(self) -> int:
        """How many servers ended under it since it was last answered."""
        return len(self.ended - self.answered)


class CrashRecords:
    """The records of one instance.

    Two instances' records of a request are joined by taking all lives of both, so that words may
    be lost, late or come twice.
    """

    def __init__(self, settings: ForwardSettings) -> None:
        """Start with none."""
        self.number = 0
        self.listeners: list[Callable[[str], None]] = []
        self._settings = settings
        self._records: dict[str, CrashRecord] = {}

    def __len__(self) -> int:
        """Count the records; most of the time there are none."""
        return len(self._records)

    def find(self, digest: str) -> CrashRecord | None:
        """Return the record of a request, if any."""
        return self._records.get(digest)

    def held_s(self, digest: str, now_unix_s: float) -> float:
        """Return for how many seconds a request is still held back, 0 where it may run."""
        record = self._records.get(digest)
        if record is None or record.ends < self._settings.crash_ends:
            return 0.0
        return max(0.0, record.held_until_unix_s - now_unix_s)

    def ended(self, digest: str, lifetime: str, now_unix_s: float) -> None:
        """Note that a life of a server ended while it ran a request."""
        before = self._records.get(digest) or CrashRecord(digest)
        record = self._join(CrashRecord(digest, frozenset((lifetime,))), now_unix_s)
        if record is not None:
            events.RAN.log(digest=digest, server=lifetime, ends=record.ends)
            self._tell_held(before, record, now_unix_s, 'here')
            self._tell(digest)

    def answered(self, digest: str, now_unix_s: float) -> None:
        """Note that a request was answered with success: it ends no servers."""
        record = self._records.get(digest)
        if record is not None and record.ends:
            events.ANSWERED.log(digest=digest, ends=record.ends)
            self._join(record._replace(answered=record.ended), now_unix_s)
            self._tell(digest)

    def hear(self, told: CrashRecord, now_unix_s: float, source: str) -> None:
        """Take in what another instance or the store tells."""
        before = self._records.get(told.digest) or CrashRecord(told.digest)
        record = self._join(told, now_unix_s)
        if record is not None:
            self._tell_held(before, record, now_unix_s, source)

    def since(self, number: int, most: int) -> list[CrashRecord]:
        """Return the first ``most`` records that changed after a number, the oldest first."""
        return [record for record in self._records.values() if record.number > number][:most]

    def dump(self, now_unix_s: float) -> dict[str, dict[str, Any]]:
        """Return the records by digest, for operators."""
        return {
            digest: {
                'ended': sorted(record.ended - record.answered),
                'held_s': round(self.held_s(digest, now_unix_s), 1),
            }
            for digest, record in self._records.items()
        }

    def _join(self, told: CrashRecord, now_unix_s: float) -> CrashRecord | None:
        """Add what is told to a record; None where nothing is new."""
        self._forget(now_unix_s)
        known = self._records.get(told.digest) or CrashRecord(told.digest)
        ended = known.ended | told.ended
        answered = known.answered | told.answered
        if (ended, answered) == (known.ended, known.answered):
            return None
        if len(ended) > MOST_LIVES:
            ended, answered = ended - answered, frozenset()
        self.number += 1
        record = CrashRecord(told.digest, ended, answered, number=self.number)
        held_until_unix_s = max(known.held_until_unix_s, told.held_until_unix_s)
        if record.ends > max(known.ends, told.ends) or not held_until_unix_s:
            held_until_unix_s = now_unix_s + self._hold_s(record.ends)
        record = record._replace(held_until_unix_s=held_until_unix_s)
        self._records.pop(told.digest, None)
        self._records[told.digest] = record
        if len(self._records) > MOST_RECORDS:
            del self._records[_least(self._records.values()).digest]
        return record

    def _hold_s(self, ends: int) -> float:
        """Return for how long so many ends hold a request back: twice as long with each further.

        After it, one more try is let through, as servers may have been mended meanwhile.
        """
        beyond = ends - self._settings.crash_ends
        if beyond < 0:
            return 0.0
        return min(LONGEST_HELD_S, self._settings.crash_held_s * 2**beyond)

    def _forget(self, now_unix_s: float) -> None:
        old_unix_s = now_unix_s - KEPT_S
        for digest, record in list(self._records.items()):
            if record.held_until_unix_s < old_unix_s:
                del self._records[digest]

    def _tell(self, digest: str) -> None:
        for listener in self.listeners:
            listener(digest)

    def _tell_held(
        self, before: CrashRecord, record: CrashRecord, now_unix_s: float, source: str
    ) -> None:
        least = self._settings.crash_ends
        if before.ends < least <= record.ends:
            events.HELD.log(
                digest=record.digest,
                ends=record.ends,
                servers=sorted(record.ended - record.answered),
                held_s=round(record.held_until_unix_s - now_unix_s, 1),
                source=source,
            )


def _least(records: Iterable[CrashRecord]) -> CrashRecord:
    """Return the record that may be forgotten first: of few ends, and changed long ago."""
    return min(records, key=lambda record: (record.ends, record.number))
