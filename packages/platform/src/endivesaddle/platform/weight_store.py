"""Permits to load weights: a few slots for the whole fleet, held in the store.

The weight store has a limited rate; more loads than that slow all of them down.
A loader holds one of ``weight_slots`` keys under a lease, written by
compare-and-swap.  The slot of a loader that dies is free when the lease expires.
A loader that was paused beyond its lease notices it by its next keep-alive or by
its own clock, and its load is cancelled: another may hold the slot by then.
"""

import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import anyio

from endivesaddle.fleet import events
from endivesaddle.fleet.clock import Clock, left_s
from endivesaddle.fleet.configuration import rendezvous
from endivesaddle.fleet.errors import FleetError, StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Store, Stored
from endivesaddle.fleet.sentinels import Absent, Conflict
from endivesaddle.platform.settings import PlatformSettings

PREFIX = 'weights/slots/'
FREE = b''
"""Value of a slot that was released."""
KEEP_ALIVES_PER_LEASE = 3
"""Keep-alives sent per lease time, so that two may be lost."""
USABLE_LEASE_SHARE = 0.9
"""Part of the lease time that the holder uses: clocks drift, and cancelling takes time."""
RETRY_S = 1.0
RELEASE_TIMEOUT_S = 2.0

PERMIT_LOST = events.event(
    5005,
    'WARNING',
    'weight_permit_lost',
    'a load of weights was cancelled because its lease expired',
)


class PermitLost(FleetError):
    """The lease expired while weights were loaded; the load was cancelled."""


class Permit(NamedTuple):
    """A held slot; ``token`` is unique to this permit.

    It is valid until ``until_unix_s``, calculated from the time when the lease was requested.
    """

    key: str
    version: int
    token: bytes
    lease_id: int
    until_unix_s: float


class WeightStore:
    """The permits of one instance to load weights."""

    def __init__(
        self, settings: PlatformSettings, clock: Clock, store: Store, instance: str
    ) -> None:
        """Initialize with no permits."""
        self._ttl_s = settings.weight_lease_s
        self._slots = settings.weight_slots
        self._clock = clock
        self._store = store
        self._instance = instance

    @asynccontextmanager
    async def permission(self, deadline_unix_s: float) -> AsyncIterator[Permit]:
        """Hold a slot while the body loads weights; wait for one until the deadline.

        Raises ``TimeoutError`` if no slot became free, ``StoreUnreachable`` if the store
        can't be reached, and ``PermitLost`` after the body was cancelled.
        """
        permit = await self.take(deadline_unix_s)
        lost = anyio.Event()
        failure = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_alive, permit, lost, tasks.cancel_scope)
            try:
                yield permit
            except Exception as error:
                # Raised again outside the task group, which would wrap it.
                failure = error
            finally:
                tasks.cancel_scope.cancel()
                await self._release(permit)
        if lost.is_set():
            PERMIT_LOST.log(instance=self._instance, key=permit.key)
            raise PermitLost(f'the lease of {permit.key} expired')
        if failure is not None:
            raise failure

    async def take(self, deadline_unix_s: float) -> Permit:
        """Take a slot without keep-alives; its lease expires unless the caller extends it."""
        while True:
            permit = await self._take_free(deadline_unix_s)
            if isinstance(permit, Permit):
                return permit
            if self._clock.now_s() + RETRY_S > deadline_unix_s:
                raise TimeoutError(permit.reason)
            await anyio.sleep(RETRY_S)

    async def _take_free(self, deadline_unix_s: float) -> Permit | Absent:
        versions = {f'{PREFIX}{number}': 0 for number in range(self._slots)}
        for stored in await self._store.list(PREFIX, deadline_unix_s):
            if stored.value == FREE and stored.key in versions:
                versions[stored.key] = stored.version
            else:
                versions.pop(stored.key, None)
        # Each instance tries the free slots in its own order; else all waiting instances
        # would compete for the same slot.
        for key in rendezvous(self._instance, list(versions)):
            permit = await self._take_slot(key, versions[key], deadline_unix_s)
            if permit is not None:
                return permit
        return Absent(f'all {self._slots} slots of the weight store are held')

    async def _take_slot(self, key: str, version: int, deadline_unix_s: float) -> Permit | None:
        until_unix_s = self._clock.now_s() + self._ttl_s * USABLE_LEASE_SHARE
        lease_id = await self._store.grant(self._ttl_s, deadline_unix_s)
        token = f'{self._instance} {uuid.uuid4().hex}'.encode()
        found: Stored | Conflict | Absent
        try:
            found = await self._store.swap(key, token, version, deadline_unix_s, lease_id)
        except StoreWriteUnconfirmed:
            found = await self._read_back(key, token, deadline_unix_s)
        if isinstance(found, Stored):
            return Permit(key, found.version, token, lease_id, until_unix_s)
        return None

    async def _read_back(self, key: str, token: bytes, deadline_unix_s: float) -> Stored | Absent:
        # The write may have taken effect although its response was lost; the token shows it.
        found = await self._store.read(key, deadline_unix_s)
        if isinstance(found, Stored) and found.value == token:
            return found
        return Absent(f'{key} was not taken')

    async def _keep_alive(
        self, permit: Permit, lost: anyio.Event, scope: anyio.CancelScope
    ) -> None:
        until_unix_s = permit.until_unix_s
        while until_unix_s > self._clock.now_s():
            # Never sleep beyond the lease: after it another loader may hold the slot.
            left = left_s(self._clock, until_unix_s)
            await anyio.sleep(min(left, self._ttl_s / KEEP_ALIVES_PER_LEASE))
            if left_s(self._clock, until_unix_s):
                until_unix_s = await self._extend(permit.lease_id, until_unix_s)
        lost.set()
        scope.cancel()

    async def _extend(self, lease_id: int, until_unix_s: float) -> float:
        sent_unix_s = self._clock.now_s()
        deadline_unix_s = min(until_unix_s, sent_unix_s + self._ttl_s / KEEP_ALIVES_PER_LEASE)
        try:
            alive = await self._store.keep_alive(lease_id, deadline_unix_s)
        except (StoreUnreachable, StoreWriteUnconfirmed):
            return until_unix_s
        return sent_unix_s + self._ttl_s * USABLE_LEASE_SHARE if alive else 0

    async def _release(self, permit: Permit) -> None:
        # Optional: if it fails, the slot is free when the lease expires.  A conflict means
        # that another loader already holds the slot, and nothing is overwritten.
        with anyio.move_on_after(RELEASE_TIMEOUT_S, shield=True):
            try:
                await self._store.swap(
                    permit.key, FREE, permit.version, self._clock.now_s() + RELEASE_TIMEOUT_S
                )
            except (StoreUnreachable, StoreWriteUnconfirmed):
                return
