"""What one router sees of the store and the fleet, with faults of its own."""

from collections.abc import AsyncIterator, Sequence
from typing import Any

import anyio
from anyio.abc import TaskGroup

from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.sentinels import Absent, Conflict
from endivesaddle.stand_ins.memory_peers import MemoryPeers
from endivesaddle.stand_ins.memory_store import MemoryStore
from endivesaddle.wire import members_pb2, runs_pb2


class LinkedStore:
    """The store as one instance reaches it: parted, paused, or with writes that come late."""

    def __init__(self, store: MemoryStore, tasks: TaskGroup) -> None:
        """Reach ``store`` without faults; late writes run in ``tasks``."""
        self._store = store
        self._tasks = tasks
        self.parted = False
        self.late_s = 0.0
        self.paused: anyio.Event | None = None

    async def read(self, key: str, deadline_unix_s: float) -> Stored | Absent:
        """Read through the faults of the link."""
        await self._pass()
        return await self._store.read(key, deadline_unix_s)

    async def list(self, prefix: str, deadline_unix_s: float) -> Sequence[Stored]:
        """List through the faults of the link."""
        await self._pass()
        return await self._store.list(prefix, deadline_unix_s)

    async def swap(
        self,
        key: str,
        value: bytes,
        expected_version: int,
        deadline_unix_s: float,
        lease_id: int = 0,
    ) -> Stored | Conflict:
        """Write through the faults of the link; a late write is heard of as unsure."""
        await self._pass()
        if self.late_s:
            self._tasks.start_soon(self._later, key, value, expected_version, self.late_s)
            raise StoreWriteUnconfirmed('the answer did not come')
        return await self._store.swap(key, value, expected_version, deadline_unix_s, lease_id)

    async def grant(self, ttl_s: int, deadline_unix_s: float) -> int:
        """Grant through the faults of the link."""
        await self._pass()
        return await self._store.grant(ttl_s, deadline_unix_s)

    async def keep_alive(self, lease_id: int, deadline_unix_s: float) -> bool:
        """Extend through the faults of the link."""
        await self._pass()
        return await self._store.keep_alive(lease_id, deadline_unix_s)

    def watch(self, prefix: str, after_version: int) -> AsyncIterator[Stored]:
        """Watch without faults."""
        return self._store.watch(prefix, after_version)

    async def _pass(self) -> None:
        while self.paused is not None:
            await self.paused.wait()
        if self.parted:
            raise StoreUnreachable('this instance does not reach the store')

    async def _later(self, key: str, value: bytes, expected_version: int, late_s: float) -> None:
        await anyio.sleep(late_s)
        with anyio.CancelScope() as scope:
            try:
                await self._store.swap(key, value, expected_version, float('inf'))
            except (StoreUnreachable, StoreWriteUnconfirmed):
                scope.cancel()


class LinkedPeers:
    """The other instances as one instance reaches them; nothing goes out while it is paused."""

    def __init__(self, peers: MemoryPeers, store: LinkedStore) -> None:
        """Pause together with ``store``."""
        self._peers = peers
        self._store = store

    async def call(self, address: str, rpc: Any, message: Any, deadline_unix_s: float) -> Any:
        """Call through the faults of the network."""
        while self._store.paused is not None:
            await self._store.paused.wait()
        return await self._peers.call(address, rpc, message, deadline_unix_s)

    def follow(self, address: str, rpc: Any, message: Any, silence_s: float) -> AsyncIterator[Any]:
        """Follow through the faults of the network."""
        return self._peers.follow(address, rpc, message, silence_s)


class LinkedView:
    """The port ``FleetView`` over one list of members that all instances share."""

    def __init__(self, members: list[members_pb2.Member], configuration: Configuration) -> None:
        """Show ``members`` as they are at each call."""
        self._members = members
        self._configuration = configuration
        self.left: set[str] = set()

    @property
    def configuration(self) -> Configuration:
        """The configuration of all."""
        return self._configuration

    def members(self, role: str, data_centre: str = '') -> Sequence[members_pb2.Member]:
        """Return the members of a role."""
        return [
            member
            for member in self._members
            if member.role == role and data_centre in {'', member.data_centre}
        ]

    def leaving(self, instance: str) -> bool:
        """Tell whether an instance said that it leaves."""
        return instance in self.left

    def loads(self) -> dict[str, runs_pb2.Load]:
        """Return no loads."""
        return {}
