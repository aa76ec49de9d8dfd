"""Read and write shard records by compare-and-swap."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from endivesaddle.fleet.budgets import record_format, records
from endivesaddle.fleet.budgets.errors import BadRecord, RecordWriteUnconfirmed
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import FleetError, StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Store
from endivesaddle.fleet.sentinels import Absent, Conflict

_FIRST_PAUSE_S = 0.002
_LONGEST_PAUSE_S = 0.5
Change = Callable[[records.ShardRecord], bool]
"""Change a record in place; False when there is nothing to write."""


class Saved(NamedTuple):
    """A record as it stands in the store."""

    record: records.ShardRecord
    version: int


class RecordStore:
    """Shard records over the port ``Store``; ``written_bytes`` and ``read_bytes`` count."""

    def __init__(self, store: Store, clock: Clock) -> None:
        """Start with nothing read."""
        self._store = store
        self._clock = clock
        self.written_bytes = 0
        self.read_bytes = 0

    async def read(self, shard: int, deadline_unix_s: float) -> Saved:
        """Return a record; a missing one is empty, at version 0."""
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
        known: Saved | None = None,
    ) -> Saved:
        """Apply ``change`` until it is written; ``known`` spares the first read.

        ``change`` is applied to a fresh record each time, and must say the same
        whether or not an earlier try of it took effect: a lost answer is resolved
        by reading back and applying it again.  Raises ``RecordWriteUnconfirmed`` where a try
        may have taken effect, ``StoreUnreachable`` where none did.
        """
        attempt = _Attempt(shard)
        while True:
            with attempt:
                saved = await self._try(shard, change, deadline_unix_s, known)
                if saved is not None:
                    return saved
            known = None
            if self._clock.now_s() >= deadline_unix_s:
                raise attempt.late()
            # An answer was lost or another wrote first: don't add to what slows the store.
            await anyio.sleep(attempt.pause_s())

    async def _try(
        self, shard: int, change: Change, deadline_unix_s: float, known: Saved | None
    ) -> Saved | None:
        start = await self.read(shard, deadline_unix_s) if known is None else known
        # The cached record stays as it is in the store, also when this write is lost.
        record = copied(start.record)
        if not change(record):
            return start
        raw = record_format.encode(record)
        key = records.key_of(shard)
        self.written_bytes += len(raw)
        stored = await self._store.swap(key, raw, start.version, deadline_unix_s)
        if isinstance(stored, Conflict):
            return None
        return Saved(record, stored.version)


def copied(record: records.ShardRecord) -> records.ShardRecord:
    """Return a copy that can be changed; grants are immutable and shared."""
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
    """Remember whether a write may have taken effect, and turn errors accordingly."""

    def __init__(self, shard: int) -> None:
        self._shard = shard
        self._doubtful = False
        self._tries = 0

    def __enter__(self) -> None:
        """Begin one try."""
        self._tries += 1

    def __exit__(self, _kind: object, error: BaseException | None, _trace: object) -> bool:
        if isinstance(error, StoreWriteUnconfirmed):
            self._doubtful = True
            return True
        if self._doubtful and isinstance(error, (StoreUnreachable, BadRecord)):
            raise self.late() from error
        return False

    def pause_s(self) -> float:
        """Return the seconds to wait before the next try, growing."""
        return min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * 2**self._tries)

    def late(self) -> FleetError:
        """Return the error of an update that ran out of time."""
        if self._doubtful:
            return RecordWriteUnconfirmed(f'shard {self._shard} may have been written')
        return StoreUnreachable(f'shard {self._shard} was not written in time: others wrote it')
