"""Keep this router's shares of prepaid totals in the store, and reserve from them.

The records of several accounts lie under one key: one write brings all of a
router's shares there up to date, so that writes don't grow with the accounts.
"""

import hashlib
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Mapping

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable, StoreUnsure
from endivesaddle.fleet.ports import KeyStore
from endivesaddle.fleet.routes import events
from endivesaddle.fleet.routes.declared import RouteAccount
from endivesaddle.fleet.routes.grants import (
    HIGH,
    LOW,
    NEAR_S,
    SMALL_TOKENS,
    Record,
    Records,
    Share,
    decode,
    encode,
)
from endivesaddle.fleet.routes.known import Contact, Known
from endivesaddle.fleet.sentinels import NOT_RUN, Absent, Conflict, Refusal

PREFIX = 'endivesaddle/grants/'
KEYS = 2
"""Keys over which the accounts are spread; the same in all routers, for good.

Routers that write one key at once lose to each other; more keys cost more writes."""
TICK_S = 0.5
"""Between looks at all shares; with a headroom of 9 s a share is never late by a tick."""
CALL_S = 0.6
"""A store call may take so long; slower ones count as lost and are read back."""
TRIES = 6
"""A router that loses to each of the others once gets its turn within these."""
WAIT_S = 0.4
"""A request waits so long for a share of its account to grow."""
PATIENCE_S = 0.08
"""A store that takes longer than this may be away: other routers are asked meanwhile.

A cut is noticed after 0.6 s; until then each request that needed a grant was refused."""
AGAIN_S = 1.0
"""A caller whose request found no share is told to come back after this."""
ASK_AGAIN_S = 0.5
"""Neither the store nor other routers are asked for the last tokens more often than this."""
LEND_TIMES = 4
"""So many times what is missing is asked for: the next requests miss the same."""

LENT_AHEAD_S = 1.0
"""Or so much of the account's use: in an outage each request would ask otherwise."""

PAYMENT_REQUIRED = 402
UNAVAILABLE = 503

Borrow = Callable[[str, int], Awaitable[int]]
"""Ask other routers for tokens of an account; returns how many they gave."""


class _Key:
    """One key of records as last read or written; version 0 where it does not exist."""

    def __init__(self, name: str) -> None:
        """Start unread."""
        self.name = name
        self.version = 0
        self.records: Records = {}
        self.read = False
        self.learnt_unix_s = 0.0
        self.lock = anyio.Lock()


class _Held:
    """A share, the key of its record, and when others had nothing to lend.

    ``waiting_tokens`` are the worst cases of requests that wait for the share to grow: one
    write grants them all. Where each wrote for itself, in bursts some lost to other routers
    until their wait was over, and were refused with a fifth of the total free.
    """

    def __init__(self, share: Share, key: _Key) -> None:
        """Start with nothing granted."""
        self.share = share
        self.key = key
        self.lending = anyio.Lock()
        self.ask_unix_s = 0.0
        self.waiting_tokens = 0


class Reservation:
    """Tokens set aside for one request; ``settle`` ends it, once."""

    def __init__(self, share: Share | None, tokens: int) -> None:
        """Hold ``tokens`` of ``share``, nothing without one."""
        self._share = share
        self.tokens = tokens

    def settle(self, spent: int) -> None:
        """End the reservation with what the request really cost."""
        if self._share is not None:
            self._share.settle(self.tokens, spent)
            self._share = None


class Keeping:
    """All shares of one life of a router."""

    def __init__(
        self,
        store: KeyStore,
        known: Known,
        clock: Clock,
        lifetime: str,
        others: Callable[[], Collection[str]],
        contact: Contact,
    ) -> None:
        """Hold shares under ``lifetime``; ``others`` are the live routers that share the totals."""
        self.borrow: Borrow = _nobody
        self.deposited: Counter[str] = Counter()
        self._store = store
        self._known = known
        self._clock = clock
        self._lifetime = lifetime
        self._others = others
        self._contact = contact
        self._keys = [_Key(f'{PREFIX}{number}') for number in range(KEYS)]
        self._held: dict[str, _Held] = {}
        self.releasing = False

    async def run(self) -> None:
        """Adjust the shares until cancelled."""
        while True:
            self._hold_all()
            await self._write_all()
            await anyio.sleep(TICK_S)

    async def reserve(
        self, account: RouteAccount, tokens: int, request_id: str = ''
    ) -> Reservation | Refusal:
        """Set a worst case aside, growing the share if need be; ``request_id`` is for the log."""
        if account.total_tokens is None or tokens <= 0:
            return Reservation(None, 0)
        held = self._hold(account.name)
        if not held.share.fits(tokens):
            held.waiting_tokens += tokens
            try:
                with anyio.move_on_after(WAIT_S):
                    await self._grow(held, account.name, tokens)
            finally:
                held.waiting_tokens -= tokens
        if held.share.fits(tokens):
            held.share.reserve(tokens, self._clock.now_s())
            return Reservation(held.share, tokens)
        return self._short(account, held, tokens, request_id)

    async def release(self) -> None:
        """Give back what is not in use, at a graceful stop; ``run`` gives back what ends later.

        Without it each restart strands the router's headroom: with all routers
        restarted in turn that was up to half of what an account had left.
        """
        self.releasing = True
        async with anyio.create_task_group() as group:
            for key in self._keys:
                if key.read:
                    group.start_soon(self._change, key, '', 0)

    def lend(self, name: str, tokens: int) -> int:
        """Give another router a part of a share; return the tokens given."""
        held = self._held.get(name)
        if held is None or held.key.lock.locked():
            # A write under way was worked out with what is here now.
            return 0
        return held.share.lend(tokens, self._clock.now_s())

    def accounts(self) -> Collection[str]:
        """Return the accounts that have shares here."""
        return list(self._held)

    def deposit_change(self, name: str, kept: int) -> int:
        """Return how many tokens more, or less, of an account should lie with its sidecar."""
        share = self._held[name].share
        headroom = self._all_ahead(name, share)
        near = share.near(headroom, self._clock.now_s())
        far = headroom - near
        surplus = share.granted - share.used - near
        if surplus < (LOW - 1) * near:
            return max(-kept, surplus)
        if kept > HIGH * far + SMALL_TOKENS:
            return far - kept
        if kept < LOW * far - SMALL_TOKENS:
            return max(0, min(far - kept, surplus))
        return 0

    def give(self, name: str, tokens: int) -> int:
        """Take tokens out of a share for its sidecar; return how many there were."""
        held = self._held[name]
        if held.key.lock.locked() or self._contact.away:
            # A write under way was worked out with what is here now; without the store the
            # tokens may be needed here.
            return 0
        return held.share.lend(tokens, self._clock.now_s(), NEAR_S)

    def take_back(self, tokens: Mapping[str, int]) -> None:
        """Add what a sidecar returned to the shares."""
        for name, returned in tokens.items():
            self._hold(name).share.borrowed(returned)

    def dump(self) -> dict[str, dict[str, float]]:
        """Return the shares for operators."""
        return {
            name: {
                'granted_tokens': held.share.granted,
                'spent_tokens': held.share.spent,
                'reserved_tokens': held.share.reserved,
                'others_tokens': held.share.others,
                'given_tokens': held.share.given,
            }
            for name, held in self._held.items()
        }

    def ready(self) -> bool:
        """Tell whether the shares of all accounts have been read once."""
        return self._known.book is not None and all(key.read for key in self._keys)

    async def _write_all(self) -> None:
        async with anyio.create_task_group() as group:
            for key in self._keys:
                if self._worth_writing(key):
                    group.start_soon(self._change, key, '', 0)

    def _hold_all(self) -> None:
        book = self._known.book
        for account in book.accounts.values() if book else ():
            if account.total_tokens is not None:
                self._hold(account.name)

    def _hold(self, name: str) -> _Held:
        held = self._held.get(name)
        if held is None:
            digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
            key = self._keys[int.from_bytes(digest) % KEYS]
            share = Share(self._lifetime, self._clock.now_s())
            share.learn(key.records.get(name, Record({})), self._others())
            held = _Held(share, key)
            self._held[name] = held
        return held

    def _of_key(self, key: _Key) -> list[tuple[str, Share]]:
        return [(name, held.share) for name, held in self._held.items() if held.key is key]

    def _worth_writing(self, key: _Key) -> bool:
        if not key.read:
            return self._known.book is not None
        return any(
            share.worth_asking(
                self._total(name), self._all_ahead(name, share), self.deposited[name]
            )
            for name, share in self._of_key(key)
        )

    def _headroom(self, name: str, share: Share) -> int:
        """Return what to hold here beyond what is in use: all but what lies with a sidecar."""
        headroom = self._all_ahead(name, share)
        return max(share.near(headroom, self._clock.now_s()), headroom - self.deposited[name])

    def _all_ahead(self, name: str, share: Share) -> int:
        if self.releasing:
            return 0
        return share.headroom(
            self._total(name), len(self._others()) + 1, self._clock.now_s(), self.deposited[name]
        )

    def _total(self, name: str) -> int:
        book = self._known.book
        account = book.accounts.get(name) if book else None
        return account.total_tokens or 0 if account else 0

    async def _grow(self, held: _Held, name: str, tokens: int) -> None:
        """Make room for a worst case: from a deposit, the store, else from other routers."""
        if self.deposited[name] >= tokens:
            await self._borrow(held, name, tokens)
            if held.share.fits(tokens):
                return
        async with anyio.create_task_group() as group:
            if not self._contact.away:
                written = anyio.Event()
                group.start_soon(self._change_for, held.key, name, tokens, written)
                with anyio.move_on_after(PATIENCE_S):
                    await written.wait()
            await self._borrow(held, name, tokens)
            if held.share.fits(tokens):
                group.cancel_scope.cancel()

    async def _change_for(self, key: _Key, name: str, tokens: int, written: anyio.Event) -> None:
        await self._change(key, name, tokens)
        written.set()

    async def _borrow(self, held: _Held, name: str, tokens: int) -> None:
        async with held.lending:
            now_unix_s = self._clock.now_s()
            missing = held.share.used + tokens - held.share.granted
            if missing <= 0 or now_unix_s < held.ask_unix_s:
                return
            ahead = int(held.share.rate_per_s(now_unix_s) * LENT_AHEAD_S)
            lent = await self.borrow(name, max(missing * LEND_TIMES, missing + ahead))
            held.share.borrowed(lent)
            if lent < missing:
                held.ask_unix_s = now_unix_s + ASK_AGAIN_S

    async def _change(self, key: _Key, name: str, tokens: int) -> None:
        """Bring all grants of a key to what is wanted; nothing while the store is away."""
        async with key.lock:
            if tokens and self._held[name].share.fits(tokens):
                return
            try:
                await self._settle_on(key, name, tokens)
            except (StoreUnreachable, StoreUnsure) as error:
                # The fate of a lost write needs no care: the next one is made under the
                # version that was read, so that only one of the two can ever take effect.
                key.read = False
                events.GRANT_UNWRITTEN.log(key=key.name, reason=str(error))

    async def _settle_on(self, key: _Key, name: str, tokens: int) -> None:
        for _ in range(TRIES):
            if not key.read:
                await self._read(key)
            wanted = self._wanted(key)
            if tokens and wanted[name] < self._held[name].share.used + tokens:
                if self._clock.now_s() - key.learnt_unix_s <= ASK_AGAIN_S:
                    # What does not make the request fit is left for the next look at all.
                    return
                # Others may have given back since: near the total that is all there is.
                key.read = False
            # Compared with the store and not with what is believed here: a grant that shrinks
            # is given up before its write, which another router's may have forestalled.
            elif self._settled(key, wanted) or await self._swap(key, wanted):
                return

    def _wanted(self, key: _Key) -> dict[str, int]:
        return {
            name: share.wanted(
                self._total(name), self._headroom(name, share), self._held[name].waiting_tokens
            )
            for name, share in self._of_key(key)
        }

    def _settled(self, key: _Key, wanted: dict[str, int]) -> bool:
        """Tell whether the grants that are wanted are on record, and used here.

        One that is on record and not used comes of a write whose answer was lost: until
        another write has taken its place, a still older one could shrink it.
        """
        return all(
            share.stored(key.records.get(name)) == wanted[name] == share.granted
            for name, share in self._of_key(key)
        )

    async def _read(self, key: _Key) -> None:
        stored = await self._store.read(key.name, self._clock.now_s() + CALL_S)
        value = None if isinstance(stored, Absent) else stored.value
        version = 0 if isinstance(stored, Absent) else stored.version
        self._learn(key, version, value)

    def _learn(self, key: _Key, version: int, value: bytes | None) -> None:
        key.version = version
        key.records = decode(value) if value else {}
        key.read = True
        key.learnt_unix_s = self._clock.now_s()
        for name, share in self._of_key(key):
            share.learn(key.records.get(name, Record({})), self._others())

    async def _swap(self, key: _Key, wanted: dict[str, int]) -> bool:
        """Write the grants; False when another router was first.

        A grant that shrinks is given up before it is written, one that grows
        is used after the answer: with the answer lost, this router believes
        the less of both, until a later write has taken the record's place.
        """
        records = dict(key.records)
        for name, grant in wanted.items():
            share = self._held[name].share
            records[name] = share.entered(records.get(name, Record({})), grant, self._clock.now_s())
            share.granted = min(share.granted, grant)
        written = await self._store.swap(
            key.name, encode(records), key.version, self._clock.now_s() + CALL_S
        )
        if isinstance(written, Conflict):
            if written.value is None:
                key.read = False
            else:
                self._learn(key, written.version, written.value)
            return False
        key.version = written.version
        key.records = records
        for name in wanted:
            share = self._held[name].share
            # Not what was worked out: other routers may have lent some while it was written.
            share.granted = share.stored(records[name])
            share.learn(records[name], self._others())
        events.GRANT.log(key=key.name, version=written.version, granted_tokens=wanted)
        return True

    def _short(self, account: RouteAccount, held: _Held, tokens: int, request_id: str) -> Refusal:
        total = account.total_tokens or 0
        events.GRANT_SHORT.log(
            request_id=request_id,
            account=account.name,
            store_age_s=round(self._contact.age_s, 3),
            needed_tokens=tokens,
            granted_tokens=held.share.granted,
            used_tokens=held.share.used,
            free_tokens=held.share.free(total),
            total_tokens=total,
            others_tokens=held.share.others,
            reported_tokens=held.share.reported,
            store_away=self._contact.away,
        )
        if held.key.read and held.share.exhausted(total, tokens):
            reason = f'{tokens} tokens at most do not fit into what is left of the prepaid total'
            return Refusal('budget_exhausted', reason, NOT_RUN, PAYMENT_REQUIRED)
        reason = 'the share of the prepaid total that this router holds does not cover the request'
        return Refusal('budget_unreachable', reason, NOT_RUN, UNAVAILABLE, AGAIN_S)


async def _nobody(account: str, tokens: int) -> int:
    return 0
