"""The audit record: who changed what, when, under which change id, before and after.

A record is written before its change takes effect, and says "asked"; it is marked
"accepted" afterwards.  So no change can stand without a record, and a record
that still says "asked" is a question to answer, not a lost change.
"""

import datetime
from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple, TypedDict

import msgspec

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue
from endivesaddle.fleet.errors import UserError
from endivesaddle.fleet.ports import Store, Stored
from endivesaddle.fleet.sentinels import Absent, Conflict
from endivesaddle.operators.events import RECORD_UNREADABLE
from endivesaddle.operators.settings import OperatorSettings
from endivesaddle.operators.values import iso
from endivesaddle.operators.writes import Write, Writer

ASKED = 'asked'
ACCEPTED = 'accepted'
IDS_PREFIX = 'audit/ids/'
DAYS_PREFIX = 'audit/days/'
MOST_LINES = 200
MOST_DAYS = 31
_DAY_S = 86400
_LEASE_REUSED_S = 3600


class Entry(TypedDict):
    """One change; ``content_digest`` tells one sent again from another under its id."""

    change_id: str
    who: str
    when_unix_s: float
    summary: str
    content_digest: str
    outcome: str
    revision: int
    touched: list[str]
    before: list[str]
    after: list[str]


class Opened(NamedTuple):
    """An entry as it stands in the store; ``fresh`` if this call made it."""

    key: str
    version: int
    entry: Entry
    fresh: bool


_decoder: JsonDecoder[Entry] = JsonDecoder(Entry)


class Audit:
    """Audit records over the port ``Store``, by change id and by day."""

    def __init__(self, settings: OperatorSettings, store: Store, clock: Clock) -> None:
        """Keep records for ``settings.audit_days``."""
        self._settings = settings
        self._store = store
        self._clock = clock
        self._writer = Writer(store, clock, settings.store_retry_s)
        self._lease = (0, 0.0)

    async def open(self, entry: Entry, deadline_unix_s: float) -> Opened | Conflict:
        """Write the record of a change that is about to be made.

        The id comes first and pins content and day, so that a change that is sent
        again days later finds its first record.  ``Conflict`` where the id
        stands for another change.
        """
        key = f'{DAYS_PREFIX}{_day(entry["when_unix_s"])}/{entry["change_id"]}'
        lease_id = await self._kept(deadline_unix_s)
        pin = f'{entry["content_digest"]} {key} {iso(entry["when_unix_s"])} {entry["who"]}'.encode()
        id_key = IDS_PREFIX + entry['change_id']
        pinned = await self._writer.put(Write(id_key, pin, 0, lease_id), deadline_unix_s)
        if isinstance(pinned, Conflict):
            return await self._reopen(entry, deadline_unix_s)
        return await self._create(key, entry, deadline_unix_s)

    async def update(self, opened: Opened, entry: Entry, deadline_unix_s: float) -> Opened:
        """Write an entry anew; left as it stands where another writer was faster."""
        body = msgspec.json.encode(entry)
        lease_id = await self._kept(deadline_unix_s)
        write = Write(opened.key, body, opened.version, lease_id)
        stored = await self._writer.put(write, deadline_unix_s)
        return opened._replace(version=stored.version, entry=entry)

    async def accept(self, change_id: str, revision: int, deadline_unix_s: float) -> None:
        """Mark a change as accepted; nothing is done where it is marked already."""
        opened = await self._find(change_id, deadline_unix_s)
        if isinstance(opened, Absent) or opened.entry['outcome'] == ACCEPTED:
            return
        marked = Entry(**{**opened.entry, 'outcome': ACCEPTED, 'revision': revision})
        await self.update(opened, marked, deadline_unix_s)

    async def find(self, change_id: str, deadline_unix_s: float) -> Entry | Absent:
        """Return the record of a change id."""
        opened = await self._find(change_id, deadline_unix_s)
        return opened if isinstance(opened, Absent) else opened.entry

    async def entries(
        self, since_unix_s: float, until_unix_s: float, deadline_unix_s: float
    ) -> Sequence[Entry]:
        """Return the records of a time, the newest last; at most ``MOST_DAYS`` days."""
        found: list[Entry] = []
        first_unix_s = max(since_unix_s, until_unix_s - MOST_DAYS * _DAY_S)
        for day in range(int(first_unix_s // _DAY_S), int(until_unix_s // _DAY_S) + 1):
            prefix = f'{DAYS_PREFIX}{_day(day * _DAY_S)}/'
            listed = await self._store.list(prefix, deadline_unix_s)
            found.extend(_readable(listed))
        found.sort(key=lambda entry: entry['when_unix_s'])
        return [entry for entry in found if entry['when_unix_s'] >= since_unix_s]

    async def _reopen(self, entry: Entry, deadline_unix_s: float) -> Opened | Conflict:
        pinned = await self._pin(entry['change_id'], deadline_unix_s)
        if isinstance(pinned, Absent):
            return Conflict(pinned.reason, 0)
        digest, key, when, who = pinned
        if digest != entry['content_digest']:
            change_id = entry['change_id']
            reason = f'change id {change_id} stands for another change by {who} at {when}'
            return Conflict(reason, 0)
        return await self._create(key, entry, deadline_unix_s)

    async def _create(self, key: str, entry: Entry, deadline_unix_s: float) -> Opened:
        body = msgspec.json.encode(entry)
        lease_id = await self._kept(deadline_unix_s)
        stored = await self._writer.put(Write(key, body, 0, lease_id), deadline_unix_s)
        if isinstance(stored, Stored):
            return Opened(key, stored.version, entry, fresh=True)
        found = await self._store.read(key, deadline_unix_s)
        if isinstance(found, Absent) or found.value is None:
            return Opened(key, 0, entry, fresh=True)
        return Opened(key, found.version, _decode(found), fresh=False)

    async def _find(self, change_id: str, deadline_unix_s: float) -> Opened | Absent:
        pinned = await self._pin(change_id, deadline_unix_s)
        if isinstance(pinned, Absent):
            return pinned
        found = await self._store.read(pinned[1], deadline_unix_s)
        if isinstance(found, Absent) or found.value is None:
            return Absent(f'no record of change {change_id}')
        return Opened(found.key, found.version, _decode(found), fresh=False)

    async def _pin(self, change_id: str, deadline_unix_s: float) -> Absent | tuple[str, ...]:
        found = await self._store.read(IDS_PREFIX + change_id, deadline_unix_s)
        if isinstance(found, Absent) or found.value is None:
            return Absent(f'no change {change_id}')
        return tuple(found.value.decode(errors='replace').split(' ', 3))

    async def _kept(self, deadline_unix_s: float) -> int:
        """Return a lease for as long as records are kept; one serves for an hour."""
        lease_id, until_unix_s = self._lease
        now_unix_s = self._clock.now_s()
        if until_unix_s <= now_unix_s:
            ttl_s = self._settings.audit_days * _DAY_S
            lease_id = await self._store.grant(ttl_s, deadline_unix_s)
            self._lease = (lease_id, now_unix_s + _LEASE_REUSED_S)
        return lease_id


def lines(entries: Sequence[Any], text: Callable[[Any], str], most: int = MOST_LINES) -> list[str]:
    """Return a line for each entry; at most ``most``, the last of which says how many."""
    if len(entries) <= most:
        return [text(entry) for entry in entries]
    first = [text(entry) for entry in entries[: most - 1]]
    return [*first, f'... {len(entries)} in all']


def _decode(stored: Stored) -> Entry:
    try:
        return _decoder.decode(stored.value or b'')
    except UnreadableValue as error:
        raise UserError(f'the record {stored.key} can not be decoded: {error}') from error


def _readable(listed: Sequence[Stored]) -> Iterator[Entry]:
    """Yield the records of a list; one that can't be decoded is logged and left out."""
    for stored in listed:
        try:
            yield _decoder.decode(stored.value or b'')
        except UnreadableValue as error:
            RECORD_UNREADABLE.log(key=stored.key, version=stored.version, error=str(error))


def _day(at_unix_s: float) -> str:
    return datetime.datetime.fromtimestamp(at_unix_s, datetime.UTC).strftime('%Y-%m-%d')
