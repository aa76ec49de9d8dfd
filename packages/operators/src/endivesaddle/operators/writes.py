"""Write one key of the store, and read back what a lost answer hides."""

from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Store, Stored
from endivesaddle.fleet.sentinels import Absent, Conflict


class Write(NamedTuple):
    """One compare-and-swap; ``version`` 0 stands for a key that must not exist."""

    key: str
    body: bytes
    version: int
    lease_id: int = 0


class Writer:
    """Writes with read-back over the port ``Store``."""

    def __init__(self, store: Store, clock: Clock, retry_s: float) -> None:
        """Look again every ``retry_s`` where the store doesn't answer."""
        self._store = store
        self._clock = clock
        self._retry_s = retry_s

    async def write(self, write: Write, deadline_unix_s: float) -> Stored | Conflict:
        """Write, and resolve a lost answer by reading back.

        The same swap may be sent again, as it holds for one version only: when the
        first one arrives late, the second finds a newer version and is read back.
        Raises ``StoreUnreachable`` where nothing took effect and ``StoreWriteUnconfirmed``
        where that could not be told by the deadline.
        """
        while True:
            try:
                return await self._store.swap(*write[:3], deadline_unix_s, write.lease_id)
            except StoreWriteUnconfirmed as error:
                found = await self._read_back(write, deadline_unix_s, error)
            if found is not None:
                return found

    async def put(self, write: Write, deadline_unix_s: float) -> Stored | Conflict:
        """Write something that is of no effect by itself: unsure is as good as not."""
        try:
            return await self.write(write, deadline_unix_s)
        except StoreWriteUnconfirmed as error:
            raise StoreUnreachable(str(error)) from error

    async def _read_back(
        self, write: Write, deadline_unix_s: float, lost: StoreWriteUnconfirmed
    ) -> Stored | Conflict | None:
        while self._clock.now_s() < deadline_unix_s:
            try:
                found = await self._store.read(write.key, deadline_unix_s)
            except StoreUnreachable:
                # The answer stays unknown while the store is away: look again until
                # the operator's deadline, rather than tell a guess.
                await anyio.sleep(self._retry_s)
            else:
                return _compare(write, found)
        raise lost


def _compare(write: Write, found: Stored | Absent) -> Stored | Conflict | None:
    version = 0 if isinstance(found, Absent) else found.version
    if isinstance(found, Stored) and found.value == write.body:
        return found
    if version == write.version:
        return None
    return Conflict(f'{write.key} is at {version}, not {write.version}', version)
