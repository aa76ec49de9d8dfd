"""Persist the records of what crashes servers, for a fleet that restarts as a whole.

Failure: all routers lost power, and with it the records that they had sent each other; the request
was sent again and crashed three more servers.
"""

import anyio
import msgspec

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.routes.remote_store import ForwardStore
from endivesaddle.fleet.routes.unreadable_values import UnreadableValues
from endivesaddle.fleet.routing import crash_events as events
from endivesaddle.fleet.routing.crash_records import CrashRecord, CrashRecords
from endivesaddle.fleet.sentinels import Absent, Conflict

PREFIX = 'endivesaddle/crashes/'
MIN_STORED_CRASHES = 2
"""Crashes from which a record is stored.  Requests that ran beside the one that crashes servers
mostly lost one run; to store them too would cost many calls for each crash."""
LEASE_S = 600
"""A record expires this long after its last change, the longest lease that the store grants."""
CALL_S = 0.6
RETRY_S = 0.5
SOURCE = 'store'
_decoder: JsonDecoder[CrashRecord] = JsonDecoder(CrashRecord)


class StoredCrashes:
    """Synchronizes the crash records of one router with those in the store."""

    def __init__(self, store: ForwardStore, records: CrashRecords, clock: Clock) -> None:
        """Read the stored records once into ``records``, and store those that this router adds."""
        self._store = store
        self._records = records
        self._clock = clock
        self._unwritten: dict[str, None] = {}
        self._stored: set[str] = set()
        self._pending = anyio.Event()
        self._unreadable = UnreadableValues()
        records.listeners.append(self._enqueue)

    async def run(self) -> None:
        """Read all records, then write new ones until cancelled."""
        while not await self._try_read():
            await anyio.sleep(RETRY_S)
        while True:
            await self._pending.wait()
            self._pending = anyio.Event()
            while self._unwritten:
                subject = next(iter(self._unwritten))
                if await self._try_write(subject):
                    self._unwritten.pop(subject, None)
                else:
                    await anyio.sleep(RETRY_S)

    def _enqueue(self, subject: str) -> None:
        record = self._records.find(subject)
        if record is None:
            return
        if subject in self._stored or len(record.crashed_incarnations) >= MIN_STORED_CRASHES:
            self._unwritten[subject] = None
            self._pending.set()

    async def _try_read(self) -> bool:
        try:
            found = await self._store.list(PREFIX, self._clock.now_s() + CALL_S)
        except StoreUnreachable as error:
            events.UNWRITTEN.log(call='read', digest='', reason=str(error))
            return False
        for stored in found:
            self._merge(stored)
        return True

    async def _try_write(self, subject: str) -> bool:
        """Merge a record with the stored one and write it; return False if a retry is needed."""
        try:
            return await self._write(subject)
        except (StoreUnreachable, StoreWriteUnconfirmed) as error:
            events.UNWRITTEN.log(call='write', digest=subject, reason=str(error))
            return False

    async def _write(self, subject: str) -> bool:
        key = f'{PREFIX}{subject}'
        deadline_unix_s = self._clock.now_s() + CALL_S
        found = await self._store.read(key, deadline_unix_s)
        version = 0 if isinstance(found, Absent) else found.version
        if isinstance(found, Stored):
            self._merge(found)
        record = self._records.find(subject)
        if record is None:
            self._stored.discard(subject)
            return True
        self._stored.add(subject)
        lease_id = await self._store.grant(LEASE_S, deadline_unix_s)
        written = await self._store.swap(
            key, msgspec.json.encode(record), version, deadline_unix_s, lease_id
        )
        return not isinstance(written, Conflict)

    def _merge(self, stored: Stored) -> None:
        try:
            record = _decoder.decode(stored.value or b'')
        except UnreadableValue as error:
            self._unreadable.note(stored, error)
            return
        self._records.merge(record, self._clock.now_s(), SOURCE)
