"""A store with the faults of a change: each is switched on for one key, by its start."""

import asyncio
import enum
import functools
from collections.abc import Sequence
from typing import Any

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.sentinels import Absent, Conflict
from endivesaddle.platform import PlatformSettings
from endivesaddle.platform.rate import StoreRate
from endivesaddle.stand_ins.memory_store import MemoryStore


class WriteFault(enum.Enum):
    """What happens to a write of a key."""

    LOST = 'it takes effect, its answer is lost'
    DROPPED = 'it takes no effect, and no answer comes'
    LATE = 'it takes effect a second later, and no answer comes'
    LAST = 'it takes effect, its answer is lost and the store goes down'
    SLOW = 'it takes effect two seconds later'
    OUTAGE = 'the store goes down right after it'


class FaultyStore(MemoryStore):
    """A memory store whose writes fail as ``faults`` say, each once."""

    def __init__(self, clock: Clock) -> None:
        """Start without faults."""
        super().__init__(clock)
        self._write = functools.partial(MemoryStore.swap, self)
        self._rate: StoreRate | None = None
        self.faults: list[tuple[str, WriteFault]] = []
        self.late: list[asyncio.Task[Any]] = []
        self.late_reads: list[tuple[str, str]] = []

    async def swap(
        self, key: str, value: bytes, expected_version: int, *rest: Any
    ) -> Stored | Conflict:
        """Write, with the first fault that is meant for the key."""
        if self._rate is not None:
            await self._rate.take('swap', rest[0])
        wanted = next((entry for entry in self.faults if key.startswith(entry[0])), None)
        if wanted is None:
            return await self._write(key, value, expected_version, *rest)
        self.faults.remove(wanted)
        return await self._faulty(wanted[1], (key, value, expected_version, *rest))

    async def read(self, key: str, deadline_unix_s: float) -> Stored | Absent:
        """Read, late where that is asked for."""
        await self._wait('read', key)
        return await super().read(key, deadline_unix_s)

    async def list(self, prefix: str, deadline_unix_s: float) -> Sequence[Stored]:
        """List, late where that is asked for."""
        await self._wait('list', prefix)
        return await super().list(prefix, deadline_unix_s)

    def bound(self, writes_per_s: float) -> None:
        """Take so many writes a second, as from a router with that share."""
        self._rate = StoreRate(PlatformSettings(store_burst_s=10.0), self._clock)
        self._rate.limit(writes_per_s, writes_per_s, 0)

    def back(self) -> dict[str, Stored]:
        """Return a copy of all keys, to restore an old state of the store."""
        return dict(self._kept)

    def restore(self, copy: dict[str, Stored]) -> None:
        """Go back to a copy."""
        self._kept = dict(copy)

    async def _wait(self, kind: str, key: str) -> None:
        for late in self.late_reads:
            if late[0] == kind and key.startswith(late[1]):
                self.late_reads.remove(late)
                await anyio.sleep(1)
                return

    async def _faulty(self, fault: WriteFault, write: tuple[Any, ...]) -> Stored | Conflict:
        if fault is WriteFault.DROPPED:
            raise StoreWriteUnconfirmed('no answer came')
        if fault is WriteFault.LATE:
            self.late.append(asyncio.create_task(self._later(write)))
            raise StoreWriteUnconfirmed('no answer came')
        if fault is WriteFault.SLOW:
            await anyio.sleep(2)
        stored = await self._write(*write)
        if fault in {WriteFault.LAST, WriteFault.OUTAGE}:
            self.fail(down=True)
        if fault in {WriteFault.LAST, WriteFault.LOST}:
            raise StoreWriteUnconfirmed('the answer was lost')
        return stored

    async def _later(self, write: tuple[Any, ...]) -> None:
        await anyio.sleep(1)
        await self._write(*write[:3], write[3] + 10)
