"""Keep records of requests that ended servers in the store, for a fleet that starts anew.

Failure: all routers lost power, and with them went what they had told each other; the request came
again, and ended three more servers.
"""

import anyio
import msgspec

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.routes.remote_store import ForwardStore
from endivesaddle.fleet.routing import crash_events as events
from endivesaddle.fleet.routing.crash_records import CrashRecord, CrashRecords
from endivesaddle.fleet.sentinels import Absent, Conflict

PREFIX = 'endivesaddle/crashes/'
WRITTEN_ENDS = 2
"""What ran beside such a request is mostly lost once: written, each end would cost many calls."""
LEASE_S = 600
"""A record outlives its last change by this, the longest that the store keeps a lease."""
CALL_S = 0.6
AWAY_S = 0.5
SOURCE = 'store'


class StoredCrashes:
    """One router's way to the records that lie in the store."""

    def __init__(self, store: ForwardStore, records: CrashRecords, clock: Clock) -> None:
        """Read all once, and write what this router notes itself."""
        self._store = store
        self._records = records
        self._clock = clock
        self._unwritten: dict[str, None] = {}
        self._any = anyio.Event()
        records.listeners.append(self._noted)

    async def run(self) -> None:
        """Read, and then write until cancelled."""
        while not await self._tried_read():
            await anyio.sleep(AWAY_S)
        while True:
            await self._any.wait()
            self._any = anyio.Event()
            while self._unwritten:
                digest = next(iter(self._unwritten))
                if await self._tried_write(digest):
                    self._unwritten.pop(digest, None)
                else:
                    await anyio.sleep(AWAY_S)

    def _noted(self, digest: str) -> None:
        record = self._records.find(digest)
        if record is not None and len(record.ended) >= WRITTEN_ENDS:
            self._unwritten[digest] = None
            self._any.set()

    async def _tried_read(self) -> bool:
        try:
            found = await self._store.list(PREFIX, self._clock.now_s() + CALL_S)
        except StoreUnreachable as error:
            events.UNWRITTEN.log(call='read', digest='', reason=str(error))
            return False
        for stored in found:
            self._hear(stored)
        return True

    async def _tried_write(self, digest: str) -> bool:
        """Write a record joined with what lies there; False where it is to be tried again."""
        try:
            return await self._write(digest)
        except (StoreUnreachable, StoreWriteUnconfirmed) as error:
            events.UNWRITTEN.log(call='write', digest=digest, reason=str(error))
            return False

    async def _write(self, digest: str) -> bool:
        key = f'{PREFIX}{digest}'
        deadline_unix_s = self._clock.now_s() + CALL_S
        found = await self._store.read(key, deadline_unix_s)
        version = 0 if isinstance(found, Absent) else found.version
        if isinstance(found, Stored):
            self._hear(found)
        record = self._records.find(digest)
        if record is None:
            return True
        lease_id = await self._store.grant(LEASE_S, deadline_unix_s)
        written = await self._store.swap(
            key, msgspec.json.encode(record), version, deadline_unix_s, lease_id
        )
        return not isinstance(written, Conflict)

    def _hear(self, stored: Stored) -> None:
        try:
            record = msgspec.json.decode(stored.value or b'', type=CrashRecord)
        except msgspec.DecodeError as error:
            events.UNWRITTEN.log(call='decode', digest=stored.key, reason=str(error))
            return
        self._records.merge(record, self._clock.now_s(), SOURCE)
