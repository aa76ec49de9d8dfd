"""Reach the store directly, or through another instance while it does not answer this one.

Failure: routers are cut off from the store for 7 to 9 s, one of them or all at once, while they
still reach the other instances.  Their grants ran out, and requests were refused although most of
the total was free.
"""

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, TypeVar

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Peers, Stored
from endivesaddle.fleet.routes import store_events as events
from endivesaddle.fleet.routes.address_backoff import AddressBackoff
from endivesaddle.fleet.routes.remote_store import ForwardStore, RemoteStore
from endivesaddle.fleet.routes.store_versions import StoreVersions
from endivesaddle.fleet.routes.store_watch import Changes
from endivesaddle.fleet.sentinels import Absent, Conflict

PROBE_S = 0.8
"""Time between probes whether the store answers again; the store counts each as a call."""
PROBE_CALL_S = 0.5
"""Time limit of a probe: a healthy store answers within 4 ms, a slow one within about 0.35 s."""
PROBE_KEY = 'endivesaddle/probe'
"""A key that is never written: that it is absent is an answer, too."""
RELAY_BACKOFF_S = 3.0
MAX_RELAY_BACKOFF_S = 12.0
"""A relay that failed is avoided for this long, at first and at most."""
MAX_RELAYS_TRIED = 2
"""Number of relays that one call may try, starting with the last one that worked."""

HUB_POLL_S = 0.8
HUB_ANSWER_S = 0.4
"""If the sidecar that polls for this router stops answering, this is noticed within 1.2 s."""

SHARED_POLL_S = 2.8
"""Age of a version that an instance reports which polls for others: it is that of the last poll,
which ended before the present one began, and each takes 1.4 s at most."""

DIRECT = 'direct'
SHARED = 'shared'
RELAYED = 'relayed'

Outcome = TypeVar('Outcome')
Call = Callable[[ForwardStore], Awaitable[Outcome]]


class StoreCall(NamedTuple):
    """A finished call; ``outcome`` is done, unreachable, unsure or cancelled."""

    name: str
    path: str
    outcome: str
    duration_s: float


class FailoverStore:
    """A store client with the interface of the store, which falls back to relays."""

    def __init__(self, direct: ForwardStore, peers: Peers, clock: Clock) -> None:
        """Initialize without relays and hubs, which the caller sets.

        ``direct`` is preferred.  ``relays`` are addresses, the nearest first.  ``hubs`` are the
        sidecars that poll the store for several routers; the first that works is used.
        """
        self.relays: Sequence[str] = ()
        self.hubs: Sequence[str] = ()
        self.direct = direct
        self.unavailable = False
        self.versions = StoreVersions()
        self.observer: Callable[[StoreCall], None] = _unobserved
        self._peers = peers
        self._clock = clock
        self._relay = ''
        self._backoff = AddressBackoff(clock, RELAY_BACKOFF_S, MAX_RELAY_BACKOFF_S)

    async def run(self) -> None:
        """Probe the store while it does not answer directly, until cancelled."""
        while True:
            await anyio.sleep(PROBE_S)
            if self.unavailable:
                await self._probe()

    async def read(self, key: str, deadline_unix_s: float) -> Stored | Absent:
        """Return the value of one key."""
        return await self._reach(
            'read', lambda store: store.read(key, deadline_unix_s), deadline_unix_s
        )

    async def list(self, prefix: str, deadline_unix_s: float) -> Sequence[Stored]:
        """Return the values of all keys that start with ``prefix``, sorted."""
        return await self._reach(
            'list', lambda store: store.list(prefix, deadline_unix_s), deadline_unix_s
        )

    async def list_stale(self, prefix: str, deadline_unix_s: float) -> Changes:
        """Return what ``scan`` does at less cost; the values may be seconds old."""
        return await self._reach(
            'glance', lambda store: store.list_stale(prefix, deadline_unix_s), deadline_unix_s
        )

    async def scan(self, prefix: str, deadline_unix_s: float) -> Changes:
        """Return all entries under a prefix, and the version from which to poll."""
        began_unix_s = self._clock.now_s()
        changes = await self._reach(
            'scan', lambda store: store.scan(prefix, deadline_unix_s), deadline_unix_s
        )
        self.versions.note(changes.version, began_unix_s)
        return changes

    async def poll(
        self, prefix: str, after_version: int, wait_s: float, deadline_unix_s: float
    ) -> Changes | Absent:
        """Wait for changes and return them; ``Absent`` if the history since then is dropped."""
        began_unix_s = self._clock.now_s()
        answer_s = deadline_unix_s - began_unix_s - wait_s
        changes = await self._shared_poll(prefix, after_version)
        relayed = changes is not None or self.unavailable
        if changes is None:
            # Subtract the time that the sidecar took: if the store waited for the full ``wait_s``,
            # its answer would come too late, and it would count as lost although it answers.
            left_s = max(0, deadline_unix_s - self._clock.now_s() - answer_s)
            changes = await self._reach(
                'poll',
                lambda store: store.poll(prefix, after_version, left_s, deadline_unix_s),
                deadline_unix_s,
            )
        if isinstance(changes, Changes):
            age_s = SHARED_POLL_S if relayed or self.unavailable else 0.0
            self.versions.note(changes.version, began_unix_s - age_s)
        return changes

    async def swap(
        self,
        key: str,
        value: bytes,
        expected_version: int,
        deadline_unix_s: float,
        lease_id: int = 0,
    ) -> Stored | Conflict:
        """Write if the key still has ``expected_version`` (0: must not exist)."""
        return await self._reach(
            'swap',
            lambda store: store.swap(key, value, expected_version, deadline_unix_s, lease_id),
            deadline_unix_s,
        )

    async def grant(self, ttl_s: int, deadline_unix_s: float) -> int:
        """Return the id of a new lease."""
        return await self._reach(
            'grant', lambda store: store.grant(ttl_s, deadline_unix_s), deadline_unix_s
        )

    async def keep_alive(self, lease_id: int, deadline_unix_s: float) -> bool:
        """Extend a lease; False when it has lapsed."""
        return await self._reach(
            'keep_alive', lambda store: store.keep_alive(lease_id, deadline_unix_s), deadline_unix_s
        )

    async def end_lease(self, lease_id: int, deadline_unix_s: float) -> None:
        """End a lease and delete everything written under it."""
        await self._reach(
            'end_lease', lambda store: store.end_lease(lease_id, deadline_unix_s), deadline_unix_s
        )

    async def _shared_poll(self, prefix: str, after_version: int) -> Changes | Absent | None:
        """Poll through a sidecar that polls for many routers; None if that fails."""
        hub = next((one for one in self.hubs if self._backoff.usable(one)), '')
        if not hub:
            return None
        hub_store = RemoteStore(hub, self._peers, self._clock)
        deadline_unix_s = self._clock.now_s() + HUB_POLL_S + HUB_ANSWER_S
        try:
            changes = await self._call(
                'poll',
                SHARED,
                lambda store: store.poll(prefix, after_version, HUB_POLL_S, deadline_unix_s),
                hub_store,
            )
        except StoreUnreachable as error:
            events.HUB_LOST.log(hub=hub, reason=str(error))
            self._backoff.record_failure(hub)
            return None
        self._backoff.record_success(hub)
        return changes

    async def _reach(self, name: str, call: Call[Outcome], deadline_unix_s: float) -> Outcome:
        """Make a call by the first path that works; don't retry a write that may have succeeded."""
        if not self.unavailable or not self.relays:
            try:
                return await self._call(name, DIRECT, call, self.direct)
            except (StoreUnreachable, StoreWriteUnconfirmed) as error:
                self._direct_failed(str(error))
                if isinstance(error, StoreWriteUnconfirmed) or self._expired(deadline_unix_s):
                    raise
        return await self._relayed(name, call, deadline_unix_s)

    async def _call(
        self, name: str, path: str, call: Call[Outcome], store: ForwardStore
    ) -> Outcome:
        """Make a call by one path, and report its outcome to the observer."""
        began_unix_s = self._clock.now_s()
        outcome = 'cancelled'
        try:
            answer = await call(store)
        except StoreUnreachable:
            outcome = 'unreachable'
            raise
        except StoreWriteUnconfirmed:
            outcome = 'unsure'
            raise
        else:
            outcome = 'done'
            return answer
        finally:
            duration_s = self._clock.now_s() - began_unix_s
            self.observer(StoreCall(name, path, outcome, duration_s))

    async def _relayed(self, name: str, call: Call[Outcome], deadline_unix_s: float) -> Outcome:
        reason = 'no other instance reaches the store'
        for address in self._usable_relays():
            try:
                return await self._by_relay(address, name, call)
            except StoreUnreachable as error:
                reason = str(error)
            if self._expired(deadline_unix_s):
                break
        raise StoreUnreachable(reason)

    async def _by_relay(self, address: str, name: str, call: Call[Outcome]) -> Outcome:
        relay = RemoteStore(address, self._peers, self._clock)
        try:
            outcome = await self._call(name, RELAYED, call, relay)
        except (StoreUnreachable, StoreWriteUnconfirmed):
            self._relay_failed(address)
            raise
        self._relay_succeeded(address)
        return outcome

    def _usable_relays(self) -> Sequence[str]:
        usable = [address for address in self.relays if self._backoff.usable(address)]
        usable.sort(key=lambda address: address != self._relay)
        return usable[:MAX_RELAYS_TRIED]

    def _relay_failed(self, address: str) -> None:
        self._backoff.record_failure(address)
        if address == self._relay:
            events.RELAY_LOST.log(relay=address)
            self._relay = ''

    def _relay_succeeded(self, address: str) -> None:
        self._backoff.record_success(address)
        if address != self._relay:
            events.RELAY.log(relay=address, relays=len(self.relays))
            self._relay = address

    def _direct_failed(self, reason: str) -> None:
        if not self.unavailable:
            events.DIRECT_LOST.log(reason=reason, relays=len(self.relays))
            self.unavailable = True

    def _expired(self, deadline_unix_s: float) -> bool:
        return self._clock.now_s() >= deadline_unix_s

    async def _probe(self) -> None:
        try:
            await self.direct.list_stale(PROBE_KEY, self._clock.now_s() + PROBE_CALL_S)
        except StoreUnreachable:
            # Only the first failure is logged; the next ones say no more.
            return
        self.unavailable = False
        self._relay = ''
        events.DIRECT_BACK.log(relays=len(self.relays))


def _unobserved(call: StoreCall) -> None:
    """Ignore a call."""
