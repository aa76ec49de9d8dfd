"""The lease on giving orders to one engine."""

import contextlib

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreWriteUnconfirmed
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.ports import Store
from endivesaddle.fleet.runs.order_state import STORE_S
from endivesaddle.fleet.sentinels import Absent


class OrderLease:
    """Held by one sidecar at a time; it lapses by itself when nobody orders.

    It doesn't make a late order impossible: its holder may be paused right
    after the check.  It makes that rare, and reading back corrects the rest.
    """

    def __init__(
        self, store: Store, server: str, identity: Identity, ttl_s: int, clock: Clock
    ) -> None:
        """Hold the lease for ``server``."""
        self._store = store
        self._key = f'leases/orders/{server}'
        self._identity = identity
        self._ttl_s = ttl_s
        self._clock = clock
        self._lease_id = 0

    async def hold(self) -> bool:
        """Take or extend the lease; False when another sidecar has it."""
        if self._lease_id and await self.extend():
            return True
        self._lease_id = await self._store.grant(self._ttl_s, self._deadline_unix_s())
        own = f'{self._identity.instance} {self._identity.incarnation} {self._lease_id}'.encode()
        # A lost answer is read back below: the write may have taken effect.
        with contextlib.suppress(StoreWriteUnconfirmed):
            await self._store.swap(self._key, own, 0, self._deadline_unix_s(), self._lease_id)
        stored = await self._store.read(self._key, self._deadline_unix_s())
        if not isinstance(stored, Absent) and stored.value == own:
            return True
        self._lease_id = 0
        return False

    async def extend(self) -> bool:
        """Extend the lease; False when it has lapsed."""
        if await self._store.keep_alive(self._lease_id, self._deadline_unix_s()):
            return True
        self._lease_id = 0
        return False

    def _deadline_unix_s(self) -> float:
        return self._clock.now_s() + STORE_S
