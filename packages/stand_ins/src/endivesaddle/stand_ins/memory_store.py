"""A configuration store in memory, with the faults of the real one.

It stands behind the etcd gateway stand-in and, directly, behind tests in
virtual time.  All faults are switched by attributes, never by chance.
"""

from collections.abc import AsyncIterator, Sequence

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.routes.store_watch import Changes
from endivesaddle.fleet.sentinels import Absent, Conflict


class MemoryStore:
    """Keep keys with versions; ``calls`` counts reads, writes and watches."""

    def __init__(self, clock: Clock) -> None:
        """Start empty and well."""
        self._clock = clock
        self._kept: dict[str, Stored] = {}
        self._version = 0
        self._leases: dict[int, tuple[float, int]] = {}
        self._lease_keys: dict[int, set[str]] = {}
        self._log: list[Stored] = []
        self._changed = anyio.Event()
        self._forgotten_version = 0
        self.down = False
        self.delay_s = 0.001
        self.lose_answers = 0
        self.calls = {'read': 0, 'list': 0, 'swap': 0, 'lease': 0, 'watch': 0}

    async def read(self, key: str, deadline_unix_s: float) -> Stored | Absent:
        """Return the value of one key."""
        await self._call('read', deadline_unix_s)
        return self._kept.get(key, Absent(f'no key {key}'))

    async def list(self, prefix: str, deadline_unix_s: float) -> Sequence[Stored]:
        """Return the values of all keys that start with ``prefix``, sorted."""
        await self._call('list', deadline_unix_s)
        return [self._kept[key] for key in sorted(self._kept) if key.startswith(prefix)]

    async def swap(
        self,
        key: str,
        value: bytes,
        expected_version: int,
        deadline_unix_s: float,
        lease_id: int = 0,
    ) -> Stored | Conflict:
        """Write if the key still has ``expected_version`` (0: must not exist)."""
        await self._call('swap', deadline_unix_s)
        current = self._kept.get(key)
        version = current.version if current else 0
        if version != expected_version:
            return Conflict(f'{key} is at {version}, not {expected_version}', version)
        if lease_id and not self._alive(lease_id):
            raise StoreUnreachable(f'refused: lease {lease_id} not found')
        stored = self._put(key, value)
        # A write moves the key from the lease of the one before to its own.
        for keys in self._lease_keys.values():
            keys.discard(key)
        if lease_id:
            self._lease_keys.setdefault(lease_id, set()).add(key)
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreWriteUnconfirmed(f'the answer to a write of {key} was lost')
        return stored

    async def grant(self, ttl_s: int, deadline_unix_s: float) -> int:
        """Return the id of a new lease."""
        await self._call('lease', deadline_unix_s)
        lease_id = len(self._leases) + 1
        self._leases[lease_id] = (self._clock.now_s() + ttl_s, ttl_s)
        return lease_id

    async def keep_alive(self, lease_id: int, deadline_unix_s: float) -> bool:
        """Extend a lease; False when it has lapsed."""
        await self._call('lease', deadline_unix_s)
        if not self._alive(lease_id):
            return False
        _, ttl_s = self._leases[lease_id]
        self._leases[lease_id] = (self._clock.now_s() + ttl_s, ttl_s)
        return True

    async def end_lease(self, lease_id: int, deadline_unix_s: float) -> None:
        """End a lease with all that was written under it."""
        await self._call('lease', deadline_unix_s)
        self._leases[lease_id] = (0, 0)
        self.expire_leases()

    async def watch(self, prefix: str, after_version: int) -> AsyncIterator[Stored]:
        """Yield what is written under ``prefix`` after a version, until it breaks."""
        self.calls['watch'] += 1
        seen = after_version
        while True:
            if self.down:
                raise StoreUnreachable('the store is down')
            for stored in [entry for entry in self._log if entry.version > seen]:
                seen = stored.version
                if stored.key.startswith(prefix):
                    yield stored
            await self._changed.wait()

    async def list_stale(self, prefix: str, deadline_unix_s: float) -> Changes:
        """List, never older than now."""
        return await self.scan(prefix, deadline_unix_s)

    async def scan(self, prefix: str, deadline_unix_s: float) -> Changes:
        """Return all that lies under a prefix, and the version from which to follow."""
        return Changes(await self.list(prefix, deadline_unix_s), self._version)

    async def poll(
        self, prefix: str, after_version: int, wait_s: float, deadline_unix_s: float
    ) -> Changes | Absent:
        """Return what changed, waiting for it; Absent where that history is dropped."""
        await self._call('watch', deadline_unix_s)
        with anyio.move_on_after(wait_s):
            while not self._since(prefix, after_version) and not self.down:
                await self._changed.wait()
        if self.down:
            raise StoreUnreachable('the store is down')
        if after_version < self._forgotten_version:
            return Absent('the history is dropped')
        return Changes(self._since(prefix, after_version), self._version)

    def forget(self) -> None:
        """Drop the history: who polls from an earlier version is told so."""
        self._forgotten_version = self._version
        self._log.clear()
        self._wake()

    def remove(self, key: str) -> None:
        """Delete a key, past all faults."""
        self._version += 1
        self._kept.pop(key, None)
        self._log.append(Stored(key, None, self._version))
        self._wake()

    def put(self, key: str, value: bytes) -> Stored:
        """Write a key without a condition, past all faults."""
        return self._put(key, value)

    def kept(self, key: str) -> Stored | None:
        """Return what a key holds, past all faults and without counting a call."""
        return self._kept.get(key)

    def fail(self, down: bool) -> None:
        """Take the store down (waiting watches break) or bring it back."""
        self.down = down
        self._wake()

    def expire_leases(self) -> None:
        """Delete the keys of lapsed leases, as the real store does by itself."""
        now_unix_s = self._clock.now_s()
        for lease_id, (expires_unix_s, _) in self._leases.items():
            if expires_unix_s <= now_unix_s:
                for key in self._lease_keys.pop(lease_id, set()):
                    self._version += 1
                    self._kept.pop(key, None)
                    self._log.append(Stored(key, None, self._version))
        self._wake()

    def _since(self, prefix: str, version: int) -> Sequence[Stored]:
        return [
            entry for entry in self._log if entry.version > version and entry.key.startswith(prefix)
        ]

    def _alive(self, lease_id: int) -> bool:
        expires_unix_s, _ = self._leases.get(lease_id, (0, 0))
        return expires_unix_s > self._clock.now_s()

    def _put(self, key: str, value: bytes) -> Stored:
        self._version += 1
        stored = Stored(key, value, self._version)
        self._kept[key] = stored
        self._log.append(stored)
        self._wake()
        return stored

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _call(self, kind: str, deadline_unix_s: float) -> None:
        self.calls[kind] += 1
        self.expire_leases()
        if self._clock.now_s() + self.delay_s > deadline_unix_s:
            await anyio.sleep(max(0, deadline_unix_s - self._clock.now_s()))
            raise StoreUnreachable('the store did not answer by the deadline')
        await anyio.sleep(self.delay_s)
        if self.down:
            raise StoreUnreachable('the store is down')
