"""Read shard records and write them by compare-and-swap."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from endivesaddle.fleet.budgets import record_format, records
from endivesaddle.fleet.budgets.errors import BadRecord, RecordWriteUnconfirmed
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import FleetError, StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Store
from endivesaddle.fleet.sentinels import Absent, Conflict

_FIRST_DELAY_S = 0.002
_MAX_DELAY_S = 0.5
Change = Callable[[records.ShardRecord], bool]
"""Change a record in place; returns False if there is nothing to write."""


class Saved(NamedTuple):
    """A record as it is in the store, with its version."""

    record: records.ShardRecord
    version: int


class RecordStore:
    """Shard records in a ``Store``; counts the bytes read and written."""

    def __init__(self, store: Store, clock: Clock) -> None:
        """Initialize with both byte counts at 0."""
        self._store = store
        self._clock = clock
        self.written_bytes = 0
        self.read_bytes = 0

    async def read(self, shard: int, deadline_unix_s: float) -> Saved:
        """Return a record, or an empty one with version 0 if it doesn't exist."""
        stored = await self._store.read(records.key_of(shard), deadline_unix_s)
        if isinstance(stored, Absent) or stored.value is None:
            return Saved(records.new_record(), 0)
        self.read_bytes += len(stored.value)
        return Saved(record_format.decode(stored.value), stored.version)

    async def update(
        self,
        shard: int,
        change: Change,
        deadline_unix_s: float,
        cached: Saved | None = None,
    ) -> Saved:
        """Apply ``change`` and write the record, retrying; ``cached`` saves the first read.

        Each attempt applies ``change`` to the record read last.  It has to be idempotent,
        whether or not an earlier attempt took effect: a lost reply is resolved by reading
        the record and applying the change again.  Raises ``RecordWriteUnconfirmed`` if
        an attempt may have taken effect, ``StoreUnreachable`` if none did.
        """
        attempt = _Attempt(shard)
        while True:
            with attempt:
                saved = await self._attempt_update(shard, change, deadline_unix_s, cached)
                if saved is not None:
                    return saved
            cached = None
            if self._clock.now_s() >= deadline_unix_s:
                raise attempt.timeout_error()
            # A reply was lost or another write came first: don't add load to a slow store.
            await anyio.sleep(attempt.delay_s())

    async def _attempt_update(
        self, shard: int, change: Change, deadline_unix_s: float, cached: Saved | None
    ) -> Saved | None:
        start = await self.read(shard, deadline_unix_s) if cached is None else cached
        # Keep the cached record equal to the stored one, also if this write fails.
        record = copy_record(start.record)
        if not change(record):
            return start
        raw = record_format.encode(record)
        key = records.key_of(shard)
        self.written_bytes += len(raw)
        stored = await self._store.swap(key, raw, start.version, deadline_unix_s)
        if isinstance(stored, Conflict):
            return None
        return Saved(record, stored.version)


def copy_record(record: records.ShardRecord) -> records.ShardRecord:
    """Return a copy that can be modified; the immutable grants are shared."""
    budgets = {
        account: records.Budget(
            top_ups=dict(budget['top_ups']),
            folded_tokens=budget['folded_tokens'],
            folded_ids=budget['folded_ids'],
            grants=dict(budget['grants']),
            stranded=list(budget['stranded']),
            spent=budget['spent'],
            moves=dict(budget['moves']),
        )
        for account, budget in record['budgets'].items()
    }
    return records.ShardRecord(
        format=record['format'],
        holders=dict(record['holders']),
        sealed=dict(record['sealed']),
        budgets=budgets,
    )


class _Attempt:
    """Track whether a write may have taken effect, and convert errors accordingly."""

    def __init__(self, shard: int) -> None:
        self._shard = shard
        self._may_have_taken_effect = False
        self._attempts = 0

    def __enter__(self) -> None:
        """Count one attempt."""
        self._attempts += 1

    def __exit__(self, _kind: object, error: BaseException | None, _trace: object) -> bool:
        if isinstance(error, StoreWriteUnconfirmed):
            self._may_have_taken_effect = True
            return True
        if self._may_have_taken_effect and isinstance(error, (StoreUnreachable, BadRecord)):
            raise self.timeout_error() from error
        return False

    def delay_s(self) -> float:
        """Return the seconds to wait before the next attempt; they double each time."""
        return min(_MAX_DELAY_S, _FIRST_DELAY_S * 2**self._attempts)

    def timeout_error(self) -> FleetError:
        """Return the error for an update that passed its deadline."""
        if self._may_have_taken_effect:
            return RecordWriteUnconfirmed(f'shard {self._shard} may have been written')
        return StoreUnreachable(
            f'shard {self._shard} was not written in time: other writes came first'
        )
