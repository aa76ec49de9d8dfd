"""Permission to load weights: a few slots for the whole fleet, kept in the store.

The weight store serves a limited rate; loads beyond it slow all of them down.
A loader holds one of ``weight_slots`` keys under a lease, written by
compare-and-swap.  A loader that dies gives its slot back when the lease lapses.
One that was paused beyond its lease finds out by its next keep-alive, or by its
own clock, and its load is cancelled: another may hold the slot by then.
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
"""Value of a slot that was given back."""
KEEP_ALIVES = 3
"""Keep-alives in the time of one lease: two may be lost."""
SURE_SHARE = 0.9
"""Part of a lease's time that its holder uses: clocks drift, and cancelling takes a while."""
RETRY_S = 1.0
GIVE_BACK_S = 2.0

PERMIT_LOST = events.event(
    5005, 'WARNING', 'weight_permit_lost', 'a load of weights outlived its lease and was cancelled'
)


class PermitLost(FleetError):
    """The lease lapsed while weights were loaded: the load was cancelled."""


class Permit(NamedTuple):
    """A held slot: ``token`` tells this holding from all others.

    It surely holds until ``until_unix_s``, reckoned from when the lease was asked for.
    """

    key: str
    version: int
    token: bytes
    lease_id: int
    until_unix_s: float


class WeightStore:
    """The permissions of one instance to load weights."""

    def __init__(
        self, settings: PlatformSettings, clock: Clock, store: Store, instance: str
    ) -> None:
        """Hold nothing yet."""
        self._ttl_s = settings.weight_lease_s
        self._slots = settings.weight_slots
        self._clock = clock
        self._store = store
        self._instance = instance

    @asynccontextmanager
    async def permission(self, deadline_unix_s: float) -> AsyncIterator[Permit]:
        """Hold a slot while the body loads weights; wait for one until the deadline.

        Raises ``TimeoutError`` where none came free, ``StoreUnreachable`` where the
        store can't be asked, and ``PermitLost`` after it has cancelled the body.
        """
        permit = await self.take(deadline_unix_s)
        lost = anyio.Event()
        failure = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep, permit, lost, tasks.cancel_scope)
            try:
                yield permit
            except Exception as error:
                # Raised again outside the group, which would wrap it.
                failure = error
            finally:
                tasks.cancel_scope.cancel()
                await self._give_back(permit)
        if lost.is_set():
            PERMIT_LOST.log(instance=self._instance, key=permit.key)
            raise PermitLost(f'the lease of {permit.key} lapsed')
        if failure is not None:
            raise failure

    async def take(self, deadline_unix_s: float) -> Permit:
        """Take a slot without keeping it: its lease lapses unless it is extended."""
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
        # Each instance goes through the free slots in an order of its own, or all
        # that wait would race for the same one.
        for key in rendezvous(self._instance, list(versions)):
            permit = await self._hold(key, versions[key], deadline_unix_s)
            if permit is not None:
                return permit
        return Absent(f'all {self._slots} slots of the weight store are held')

    async def _hold(self, key: str, version: int, deadline_unix_s: float) -> Permit | None:
        until_unix_s = self._clock.now_s() + self._ttl_s * SURE_SHARE
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
        # The write may have taken effect without an answer; its token tells.
        found = await self._store.read(key, deadline_unix_s)
        if isinstance(found, Stored) and found.value == token:
            return found
        return Absent(f'{key} was not taken')

    async def _keep(self, permit: Permit, lost: anyio.Event, scope: anyio.CancelScope) -> None:
        until_unix_s = permit.until_unix_s
        while until_unix_s > self._clock.now_s():
            # Never beyond the lease: the slot may be another's from then on.
            left = left_s(self._clock, until_unix_s)
            await anyio.sleep(min(left, self._ttl_s / KEEP_ALIVES))
            if left_s(self._clock, until_unix_s):
                until_unix_s = await self._extend(permit.lease_id, until_unix_s)
        lost.set()
        scope.cancel()

    async def _extend(self, lease_id: int, until_unix_s: float) -> float:
        asked_unix_s = self._clock.now_s()
        deadline_unix_s = min(until_unix_s, asked_unix_s + self._ttl_s / KEEP_ALIVES)
        try:
            alive = await self._store.keep_alive(lease_id, deadline_unix_s)
        except (StoreUnreachable, StoreWriteUnconfirmed):
            return until_unix_s
        return asked_unix_s + self._ttl_s * SURE_SHARE if alive else 0

    async def _give_back(self, permit: Permit) -> None:
        # Only a courtesy: where it fails, the lease lapses and frees the slot.  A
        # conflict means that another holds it already, and nothing is overwritten.
        with anyio.move_on_after(GIVE_BACK_S, shield=True):
            try:
                await self._store.swap(
                    permit.key, FREE, permit.version, self._clock.now_s() + GIVE_BACK_S
                )
            except (StoreUnreachable, StoreWriteUnconfirmed):
                return
