"""Records of what servers crashed under, and holding back what is to blame for it.

A subject is a whole request, named by its digest, or a shared part of prompts.  Limits: a few
crashes may be chance, since requests that run beside the one to blame are lost with it, but not
repeatedly without an answer in between.  Without I/O.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Annotated, Any, NamedTuple

import msgspec

from endivesaddle.fleet.routing import crash_events as events
from endivesaddle.fleet.routing.crash_blame import EndedRun, Suspect, blamed, incidents, is_part
from endivesaddle.fleet.routing.crash_trials import Trials
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.fleet.routing.recent_answers import RecentAnswers

RETENTION_S = 600.0
"""A record is dropped this long after its last crash or the end of its hold."""
MAX_HELD_S = 86400.0
MAX_RECORDS = 256
"""More than the requests running on one server when it ends, with their parts; the oldest of those
with a single crash are dropped first."""
MAX_INCARNATIONS = 32
"""Server incarnations per record; beyond this, those before the last response are dropped."""
MAX_REQUESTS = 4
"""Different requests that are named in the record of a part."""
MAX_DOUBLINGS = 10
DOUBTED_HELD_S = 2.0
DOUBTED_FACTOR = 4
"""A part that was answered before is held back this long at first, and this many times longer after
each trial: it may be to blame by chance, and only a trial shows it."""
HOLD_TOLERANCE_S = 1.0
"""Holds whose ends differ by less are the same: each report of one is late by its way."""
EXPIRY_INTERVAL_S = 1.0
"""Interval between checks for expired records, each of which scans all records."""
LOCAL_SOURCE = 'here'
"""The source of what this instance recorded itself."""

Tries = Annotated[int, msgspec.Meta(ge=0, le=(1 << 31) - 1)]
"""A count of trials; messages between instances hold 32 bits, and it grows with each trial."""


class CrashRecord(NamedTuple):
    """What is known of one subject.

    ``ended`` has the server incarnations that ended while they ran a request with it.  Those also
    in ``answered`` no longer count, since such a request was answered after them.  ``tries`` is how
    often it was tried after being held back, ``number`` the number of the last change on this
    instance, ``requests`` the begins of the digests of some requests with it that were lost.
    """

    subject: str
    ended: dict[str, EndedRun] = {}  # never changed in place
    answered: frozenset[str] = frozenset()
    held_until_unix_s: float = 0.0
    tries: Tries = 0
    kept_until_unix_s: float = 0.0
    number: int = 0
    requests: frozenset[str] = frozenset()

    @property
    def crashed_incarnations(self) -> list[str]:
        """The server incarnations that it crashed since it was last answered."""
        return sorted(self.ended.keys() - self.answered)

    @property
    def crashes(self) -> dict[str, EndedRun]:
        """The runs at these incarnations."""
        return {server: self.ended[server] for server in self.crashed_incarnations}


class HeldBack(NamedTuple):
    """A subject that is held back for ``held_s``."""

    subject: str
    held_s: float


class CrashRecords:
    """The records of one instance.

    Two instances' records of a subject are merged into the union of their incarnations, so that
    reports may be lost, late or repeated.
    """

    def __init__(self, settings: ForwardSettings, decides: bool = True) -> None:
        """Initialize with no records; without ``decides`` they are only passed on."""
        self.number = 0
        self.listeners: list[Callable[[str], None]] = []
        self.trials = Trials()
        self._settings = settings
        self._decides = decides
        self._records: dict[str, CrashRecord] = {}
        self._suspects: set[str] = set()
        self._blamed: frozenset[str] = frozenset()
        self._answers = RecentAnswers()
        self._next_expiry_unix_s = 0.0

    def __len__(self) -> int:
        """Return the number of records, usually 0."""
        return len(self._records)

    def find(self, subject: str) -> CrashRecord | None:
        """Return the record of a subject, or None."""
        return self._records.get(subject)

    def held_s(self, subject: str, now_unix_s: float) -> float:
        """Return the seconds for which a subject is still held back, 0 if it may run."""
        if subject not in self._blamed:
            return 0.0
        return max(0.0, self._records[subject].held_until_unix_s - now_unix_s)

    def check(self, subjects: Iterable[str], now_unix_s: float) -> HeldBack | None:
        """Return what holds back a request with these subjects, None if it may run.

        After a hold, one more request is allowed as a trial, since the servers may have been
        repaired.  One with several blamed subjects would not tell which of them crashes servers.
        """
        held = [subject for subject in subjects if subject in self._blamed]
        if not held:
            return None
        subject = max(held, key=lambda one: self._records[one].held_until_unix_s)
        until_unix_s = self._records[subject].held_until_unix_s
        if now_unix_s < until_unix_s:
            return HeldBack(subject, until_unix_s - now_unix_s)
        if len(held) == 1 and self.trials.begin(subject, until_unix_s, now_unix_s):
            events.TRIED.log(subject=subject, tries=self._records[subject].tries)
            return None
        return HeldBack(subject, self.trials.interval_s)

    def record_crash(
        self, subjects: Sequence[str], incarnation: str, run: EndedRun, now_unix_s: float
    ) -> None:
        """Record that a server incarnation ended while it ran a request, which is the first one."""
        ended = {incarnation: run}
        request = frozenset((subjects[0][:8],))
        changed = []
        for subject in subjects:
            received = CrashRecord(subject, ended, requests=request)
            record = self._merge(received, now_unix_s)
            if record is not None:
                changed.append(record)
        self._decide(now_unix_s, LOCAL_SOURCE)
        for record in changed:
            events.RAN.log(
                digest=record.subject,
                server=incarnation,
                ends=len(record.crashed_incarnations),
                moments=incidents(record.crashes.values()),
            )
            self._notify(record.subject)

    def record_success(
        self, subjects: Iterable[str], began_unix_s: float, now_unix_s: float
    ) -> None:
        """Record an answer that a server began at a time: its subjects did not crash it."""
        for subject in subjects:
            if is_part(subject):
                self._answers.add(subject, began_unix_s)
            record = self._records.get(subject)
            if record is not None and self._clear(record, began_unix_s, now_unix_s):
                self._notify(subject)
        self._decide(now_unix_s, LOCAL_SOURCE)

    def merge(self, received: CrashRecord, now_unix_s: float, source: str) -> None:
        """Merge a record from another instance or the store."""
        record = self._merge(received, now_unix_s)
        if record is not None and record.crashed_incarnations:
            began_unix_s = self._answers.last_unix_s(record.subject)
            if self._clear(record, began_unix_s, now_unix_s):
                self._notify(record.subject)
        self._decide(now_unix_s, source)

    def since(self, number: int, most: int) -> list[CrashRecord]:
        """Return the first ``most`` records that changed after a number, oldest first."""
        if number == self.number:
            return []
        return [record for record in self._records.values() if record.number > number][:most]

    def dump(self, now_unix_s: float) -> dict[str, dict[str, Any]]:
        """Return the records by subject, for operators."""
        return {
            subject: {
                'ended': record.crashed_incarnations,
                'requests': len(record.requests),
                'held_s': round(self.held_s(subject, now_unix_s), 1),
            }
            for subject, record in self._records.items()
        }

    def _clear(self, record: CrashRecord, began_unix_s: float, now_unix_s: float) -> bool:
        """Clear the crashes before an answer began; return whether there are any."""
        before = [
            server for server, run in record.crashes.items() if run.broke_unix_s <= began_unix_s
        ]
        if not before:
            return False
        events.ANSWERED.log(digest=record.subject, ends=len(before))
        answered = record._replace(answered=record.answered | frozenset(before))
        return self._merge(answered, now_unix_s) is not None

    def _merge(self, received: CrashRecord, now_unix_s: float) -> CrashRecord | None:
        """Merge a record and return the result, None if nothing is new."""
        self._drop_expired(now_unix_s)
        known = self._records.get(received.subject) or CrashRecord(received.subject)
        ended = _merged(known.ended, received.ended)
        answered = known.answered | received.answered
        requests = known.requests | received.requests
        held_until_unix_s = max(known.held_until_unix_s, received.held_until_unix_s)
        # Bounded, since the store may contain a value of another writer.
        held_until_unix_s = min(held_until_unix_s, now_unix_s + MAX_HELD_S)
        if held_until_unix_s <= known.held_until_unix_s + HOLD_TOLERANCE_S:
            held_until_unix_s = known.held_until_unix_s
        unchanged = (ended, answered) == (known.ended, known.answered)
        if unchanged and held_until_unix_s == known.held_until_unix_s:
            return None
        if len(ended) > MAX_INCARNATIONS:
            ended = {server: run for server, run in ended.items() if server not in answered}
            answered = frozenset()
        return self._keep(
            CrashRecord(
                received.subject,
                ended,
                answered,
                held_until_unix_s,
                max(known.tries, received.tries),
                requests=frozenset(sorted(requests)[:MAX_REQUESTS]),
            ),
            now_unix_s,
        )

    def _keep(self, record: CrashRecord, now_unix_s: float) -> CrashRecord:
        """Store a record as the one that changed last."""
        self.number += 1
        kept_until_unix_s = max(now_unix_s, record.held_until_unix_s) + RETENTION_S
        record = record._replace(kept_until_unix_s=kept_until_unix_s, number=self.number)
        self._records.pop(record.subject, None)
        self._records[record.subject] = record
        if len(record.ended) - len(record.answered) >= self._settings.crash_ends:
            self._suspects.add(record.subject)
        else:
            self._suspects.discard(record.subject)
        if len(self._records) > MAX_RECORDS:
            self._drop(_least_valuable(self._records.values()).subject)
        return record

    def _decide(self, now_unix_s: float, source: str) -> None:
        """Find out what is to blame now, and hold it back."""
        if not self._decides or not (self._suspects or self._blamed):
            return
        found = blamed(
            [self._suspect(self._records[subject]) for subject in self._suspects],
            self._settings.crash_ends,
        )
        before = self._blamed
        self._blamed = frozenset(suspect.subject for suspect in found)
        for suspect in found:
            record = self._records[suspect.subject]
            if record.held_until_unix_s and not self._crashed_in_trial(record):
                if suspect.subject not in before:
                    self._log_held(record, now_unix_s, source)
                continue
            tries = record.tries + bool(record.held_until_unix_s)
            held_s = self._hold_s(tries, suspect)
            held_until_unix_s = now_unix_s + held_s
            held = record._replace(held_until_unix_s=held_until_unix_s, tries=tries)
            self._log_held(self._keep(held, now_unix_s), now_unix_s, source)
            self._notify(suspect.subject)

    def _suspect(self, record: CrashRecord) -> Suspect:
        passed = bool(self._answers.last_unix_s(record.subject))
        return Suspect(record.subject, record.crashes, len(record.requests), passed)

    def _crashed_in_trial(self, record: CrashRecord) -> bool:
        """Return whether a server ended under a request that began after the last hold."""
        return any(run.began_unix_s >= record.held_until_unix_s for run in record.crashes.values())

    def _hold_s(self, tries: int, suspect: Suspect) -> float:
        doublings = min(tries, MAX_DOUBLINGS)
        held_s = self._settings.crash_held_s * 2**doublings
        if suspect.passed:
            held_s = min(held_s, DOUBTED_HELD_S * DOUBTED_FACTOR**doublings)
        return min(MAX_HELD_S, held_s)

    def _drop_expired(self, now_unix_s: float) -> None:
        if now_unix_s < self._next_expiry_unix_s:
            return
        self._next_expiry_unix_s = now_unix_s + EXPIRY_INTERVAL_S
        for subject, record in list(self._records.items()):
            if record.kept_until_unix_s < now_unix_s:
                self._drop(subject)

    def _drop(self, subject: str) -> None:
        del self._records[subject]
        self.trials.forget(subject)
        self._suspects.discard(subject)
        self._blamed -= {subject}

    def _notify(self, subject: str) -> None:
        for listener in self.listeners:
            listener(subject)

    def _log_held(self, record: CrashRecord, now_unix_s: float, source: str) -> None:
        events.HELD.log(
            digest=record.subject,
            servers=record.crashed_incarnations,
            moments=incidents(record.crashes.values()),
            requests=len(record.requests),
            answered_before=bool(self._answers.last_unix_s(record.subject)),
            tries=record.tries,
            held_s=round(record.held_until_unix_s - now_unix_s, 1),
            source=source,
        )


def _crash_count(record: CrashRecord) -> int:
    return len(record.ended) - len(record.answered)


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
