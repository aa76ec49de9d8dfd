"""Records of requests for support engineers, kept in the store and found from any router."""

from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import SHARD_COUNT, shard_of
from endivesaddle.fleet.errors import (
    PeerNoReply,
    PeerRefused,
    PeerUnreachable,
    StoreUnreachable,
    StoreWriteUnconfirmed,
)
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import Budgets
from endivesaddle.fleet.ports import FleetView, Peers, Store, Stored
from endivesaddle.fleet.requests import batches
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.requests.errors import BrokenBatch
from endivesaddle.fleet.requests.events import RECORDS_BROKEN, RECORDS_DELAYED, RECORDS_DROPPED
from endivesaddle.fleet.requests.finding import Matcher, find_in, match_field
from endivesaddle.fleet.requests.settings import RequestSettings
from endivesaddle.fleet.sentinels import Absent, Conflict
from endivesaddle.wire import holders_pb2, rpcs

STORE_S = 2.0
"""Timeout of one call to the store."""


class Recorder:
    """Writes ended records into a ring of slots for each shard and data centre.

    The slot is derived from the time, so that a new holder needs no state to continue, old
    records are overwritten, and the size of the data and the write rate are bounded.
    """

    def __init__(  # noqa: WPS211 (the ports of a router, and a hook)
        self,
        settings: RequestSettings,
        identity: Identity,
        budgets: Budgets,
        peers: Peers,
        view: FleetView,
        clock: Clock,
        store: Store,
        matcher: Matcher = match_field,
    ) -> None:
        """Initialize for one router; ``add`` is the hook for ``Claims``."""
        self._context = Context(settings, identity, budgets, peers, view, clock)
        self._store = store
        self._matcher = matcher
        self._queue: deque[holders_pb2.Record] = deque()
        self._written = 0
        self._dropped = 0

    def add(self, record: holders_pb2.Record) -> None:
        """Queue an ended record; the oldest one is dropped if the queue is full."""
        if len(self._queue) >= self._context.settings.record_queue:
            self._queue.popleft()
            self._drop(1)
        self._queue.append(record)

    async def run(self) -> None:
        """Write ended records every ``record_every_s`` until cancelled."""
        while True:
            await anyio.sleep(self._context.settings.record_every_s)
            await self.flush()

    async def flush(self) -> None:
        """Write the queued records into the slots of this period."""
        waiting: dict[int, list[holders_pb2.Record]] = {}
        while self._queue:
            record = self._queue.popleft()
            waiting.setdefault(record.shard, []).append(record)
        for shard, records in waiting.items():
            rest = records
            try:
                rest = await self._write(shard, records)
            except (StoreUnreachable, StoreWriteUnconfirmed, BrokenBatch) as error:
                # If only the reply was lost, the retry merges them with the written batch.
                RECORDS_DELAYED.log(shard=shard, reason=str(error), records=len(rest))
            for record in rest:
                self.add(record)

    async def find(self, message: holders_pb2.FindRequest) -> holders_pb2.FindReply:
        """Find records at the holders of the account and in the store."""
        if message.request_key and not message.account:
            message.account = message.request_key.partition('/')[0]
        replies = [*await self._query_holders(message), await self.find_stored(message)]
        records = [record for reply in replies for record in reply.records]
        found = find_in(message, records, self._matcher)
        found.complete = found.complete and all(reply.complete for reply in replies)
        reasons = [found.reason, *(reply.reason for reply in replies)]
        found.reason = '; '.join(dict.fromkeys(filter(None, reasons)))
        return found

    async def find_stored(self, message: holders_pb2.FindRequest) -> holders_pb2.FindReply:
        """Find records in the store only."""
        shards = [shard_of(message.account)] if message.account else range(SHARD_COUNT)
        records: list[holders_pb2.Record] = []
        try:
            for shard in shards:
                deadline_unix_s = self._context.now_s() + STORE_S
                for stored in await self._store.list(f'records/{shard:02}/', deadline_unix_s):
                    records.extend(_readable(stored))
        except StoreUnreachable as error:
            found = find_in(message, records, self._matcher)
            found.complete = False
            found.reason = str(error)
            return found
        return find_in(message, records, self._matcher)

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump of the process."""
        return self.counters()

    def counters(self) -> dict[str, float]:
        """Return the counters for metrics, by name."""
        return {
            'records_waiting': len(self._queue),
            'records_written': self._written,
            'records_dropped': self._dropped,
        }

    async def _write(
        self, shard: int, records: Sequence[holders_pb2.Record]
    ) -> list[holders_pb2.Record]:
        """Write into the shard's slot; return the records that did not fit."""
        settings = self._context.settings
        period = int(self._context.now_s() // settings.record_every_s)
        slot = period % settings.record_slots
        key = f'records/{shard:02}/{self._context.identity.data_centre}/{slot:05}'
        deadline_unix_s = self._context.now_s() + STORE_S
        before = await self._store.read(key, deadline_unix_s)
        filled = batches.fill(_batch(before, period), records, settings.record_bytes)
        if not filled.value:
            return filled.rest
        version = 0 if isinstance(before, Absent) else before.version
        written = await self._store.swap(key, filled.value, version, deadline_unix_s)
        if isinstance(written, Conflict):
            return list(records)
        self._written += len(records) - len(filled.rest)
        return filled.rest

    def _drop(self, count: int) -> None:
        self._dropped += count
        RECORDS_DROPPED.log(records=count)

    async def _query_holders(self, message: holders_pb2.FindRequest) -> list[holders_pb2.FindReply]:
        addresses = self._addresses(message.account)
        replies: list[holders_pb2.FindReply] = []
        async with anyio.create_task_group() as group:
            for address in addresses:
                group.start_soon(self._query_holder, address, message, replies.append)
        return replies

    def _addresses(self, account: str) -> list[str]:
        if account:
            names = self._context.view.configuration.data_centres
            holders = [self._context.budgets.holder_address(account, name) for name in names]
            return list(dict.fromkeys(holders))
        return [member.address for member in self._context.view.members('router')]

    async def _query_holder(
        self,
        address: str,
        message: holders_pb2.FindRequest,
        add_reply: Callable[[holders_pb2.FindReply], None],
    ) -> None:
        deadline_unix_s = self._context.now_s() + self._context.settings.call_s
        try:
            add_reply(await self._context.peers.call(address, rpcs.FIND, message, deadline_unix_s))
        except (PeerUnreachable, PeerNoReply, PeerRefused):
            name = address or 'a holder that is not known'
            add_reply(holders_pb2.FindReply(reason=f'{name} did not answer'))


def _batch(stored: Stored | Absent, period: int) -> holders_pb2.Batch:
    """Return the batch of a slot for this period; one of an older period is overwritten."""
    fresh = holders_pb2.Batch(period=period)
    if isinstance(stored, Absent) or not stored.value:
        return fresh
    batch = batches.decode(stored.value)
    return batch if batch.period == period else fresh


def _readable(stored: Stored) -> list[holders_pb2.Record]:
    try:
        return list(batches.decode(stored.value or b'').records)
    except BrokenBatch as error:
        RECORDS_BROKEN.log(key=stored.key, reason=str(error))
        return []
