"""Reach the store: directly, or through another instance while it does not answer here.

Failure: routers are cut off from the store for 7 to 9 s, each alone or all at once, while
they still reach the other instances.  What they had been granted ran out, and requests were
refused with most of the total free.
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
from endivesaddle.fleet.routes.store_watch import Changes
from endivesaddle.fleet.sentinels import Absent, Conflict

PROBE_S = 0.8
"""Between looks whether the store answers here again; each is a call that the store counts."""
PROBE_CALL_S = 0.5
"""The store answers in 4 ms, a slow one in some 0.35 s; a later answer is none."""
PROBED_KEY = 'endivesaddle/probe'
"""A key that nobody writes: that it is absent is an answer too."""
RELAY_AGAIN_S = 3.0
LONGEST_RELAY_AGAIN_S = 12.0
"""A relay that failed is passed over for this long, at first and at most."""
RELAYS_TRIED = 2
"""Relays that one call may try, the last that worked first."""

HUB_POLL_S = 0.8
HUB_ANSWER_S = 0.4
"""A sidecar that polls for this router and fell silent is noticed within 1.2 s."""

DIRECT = 'direct'
SHARED = 'shared'
RELAYED = 'relayed'

Outcome = TypeVar('Outcome')
Call = Callable[[ForwardStore], Awaitable[Outcome]]


class StoreCall(NamedTuple):
    """One call that was made; ``outcome`` is done, unreachable, unsure or cancelled."""

    name: str
    path: str
    outcome: str
    duration_s: float


class FailoverStore:
    """The store by the ways that this router has; it is used like the store itself."""

    def __init__(self, direct: ForwardStore, peers: Peers, clock: Clock) -> None:
        """Prefer ``direct``; ``relays`` are addresses, the nearest first.

        ``hubs`` are those through which this router follows the store with others, the first
        that works.
        """
        self.relays: Sequence[str] = ()
        self.hubs: Sequence[str] = ()
        self.direct = direct
        self.unavailable = False
        self.observer: Callable[[StoreCall], None] = _unobserved
        self._peers = peers
        self._clock = clock
        self._relay = ''
        self._avoided = AddressBackoff(clock, RELAY_AGAIN_S, LONGEST_RELAY_AGAIN_S)

    async def run(self) -> None:
        """While the store does not answer here, look whether it does again, until cancelled."""
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

    async def list_stale(self, prefix: str, deadline_unix_s: float) -> Sequence[Stored]:
        """List as ``list`` does, cheaply: what is told may be seconds old."""
        return await self._reach(
            'glance', lambda store: store.list_stale(prefix, deadline_unix_s), deadline_unix_s
        )

    async def scan(self, prefix: str, deadline_unix_s: float) -> Changes:
        """Return all that lies under a prefix, and the version from which to follow."""
        return await self._reach(
            'scan', lambda store: store.scan(prefix, deadline_unix_s), deadline_unix_s
        )

    async def poll(
        self, prefix: str, after_version: int, wait_s: float, deadline_unix_s: float
    ) -> Changes | Absent:
        """Return what changed, waiting for it; Absent where that history is dropped."""
        answer_s = deadline_unix_s - self._clock.now_s() - wait_s
        shared = await self._shared_poll(prefix, after_version)
        if shared is not None:
            return shared
        # What the sidecar took is gone: had the store waited for as long as if it were not, its
        # answer would come too late, and it would be taken for lost though it answers.
        left_s = max(0, deadline_unix_s - self._clock.now_s() - answer_s)
        return await self._reach(
            'poll',
            lambda store: store.poll(prefix, after_version, left_s, deadline_unix_s),
            deadline_unix_s,
        )

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
        """End a lease with all that was written under it."""
        await self._reach(
            'end_lease', lambda store: store.end_lease(lease_id, deadline_unix_s), deadline_unix_s
        )

    async def _shared_poll(self, prefix: str, after_version: int) -> Changes | Absent | None:
        """Follow through a sidecar that polls for many routers; None where that fails."""
        hub = next((one for one in self.hubs if self._avoided.usable(one)), '')
        if not hub:
            return None
        store = RemoteStore(hub, self._peers, self._clock)
        deadline_unix_s = self._clock.now_s() + HUB_POLL_S + HUB_ANSWER_S
        try:
            changes = await self._made(
                'poll',
                SHARED,
                lambda store: store.poll(prefix, after_version, HUB_POLL_S, deadline_unix_s),
                store,
            )
        except StoreUnreachable as error:
            events.HUB_LOST.log(hub=hub, reason=str(error))
            self._avoided.record_failure(hub)
            return None
        self._avoided.record_success(hub)
        return changes

    async def _reach(self, name: str, call: Call[Outcome], deadline_unix_s: float) -> Outcome:
        """Make a call by the first way that answers; a write that may be done is not repeated."""
        if not self.unavailable or not self.relays:
            try:
                return await self._made(name, DIRECT, call, self.direct)
            except (StoreUnreachable, StoreWriteUnconfirmed) as error:
                self._lost(str(error))
                if isinstance(error, StoreWriteUnconfirmed) or self._late(deadline_unix_s):
                    raise
        return await self._relayed(name, call, deadline_unix_s)

    async def _made(
        self, name: str, path: str, call: Call[Outcome], store: ForwardStore
    ) -> Outcome:
        """Make a call one way, and tell the observer how it went."""
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
        for address in self._relays_now():
            try:
                return await self._by_relay(address, name, call)
            except StoreUnreachable as error:
                reason = str(error)
            if self._late(deadline_unix_s):
                break
        raise StoreUnreachable(reason)

    async def _by_relay(self, address: str, name: str, call: Call[Outcome]) -> Outcome:
        relay = RemoteStore(address, self._peers, self._clock)
        try:
            outcome = await self._made(name, RELAYED, call, relay)
        except (StoreUnreachable, StoreWriteUnconfirmed):
            self._relay_failed(address)
            raise
        self._relay_works(address)
        return outcome

    def _relays_now(self) -> Sequence[str]:
        usable = [address for address in self.relays if self._avoided.usable(address)]
        usable.sort(key=lambda address: address != self._relay)
        return usable[:RELAYS_TRIED]

    def _relay_failed(self, address: str) -> None:
        self._avoided.record_failure(address)
        if address == self._relay:
            events.RELAY_LOST.log(relay=address)
            self._relay = ''

    def _relay_works(self, address: str) -> None:
        self._avoided.record_success(address)
        if address != self._relay:
            events.RELAY.log(relay=address, relays=len(self.relays))
            self._relay = address

    def _lost(self, reason: str) -> None:
        if not self.unavailable:
            events.DIRECT_LOST.log(reason=reason, relays=len(self.relays))
            self.unavailable = True

    def _late(self, deadline_unix_s: float) -> bool:
        return self._clock.now_s() >= deadline_unix_s

    async def _probe(self) -> None:
        try:
            await self.direct.list_stale(PROBED_KEY, self._clock.now_s() + PROBE_CALL_S)
        except StoreUnreachable:
            # Each failure says no more than the one before; the first was logged.
            return
        self.unavailable = False
        self._relay = ''
        events.DIRECT_BACK.log(relays=len(self.relays))


def _unobserved(made: StoreCall) -> None:
    """Keep no figures."""
