"""Keep this router's shares of prepaid totals in the store, and reserve from them."""

from collections.abc import Awaitable, Callable

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable, StoreUnsure
from endivesaddle.fleet.ports import Store, Stored
from endivesaddle.fleet.routes import events
from endivesaddle.fleet.routes.declared import RouteAccount
from endivesaddle.fleet.routes.following import Contact
from endivesaddle.fleet.routes.grants import Record, Share, decode, encode
from endivesaddle.fleet.routes.known import Known
from endivesaddle.fleet.sentinels import NOT_RUN, Absent, Conflict, Refusal

PREFIX = 'endivesaddle/grants/'
TICK_S = 0.5
"""Between looks at all shares; with `HEADROOM_S` of 6 s a share is never late by a tick."""
CALL_S = 0.6
"""A store call may take so long; slower ones count as lost and are read back."""
TRIES = 6
"""Routers that change one record at once each lose to every other one once at most."""
WAIT_S = 0.4
"""A request waits so long for a share of its account to grow."""
AGAIN_S = 1.0
"""A caller that met an unreachable store is told to come back after this."""

PAYMENT_REQUIRED = 402
UNAVAILABLE = 503


Borrow = Callable[[str, int], Awaitable[int]]
"""Ask other routers for tokens of an account; returns how many they gave."""


class _Held:
    """A share and what is known of its record."""

    def __init__(self, share: Share) -> None:
        """Start unread."""
        self.share = share
        self.version = 0
        self.record = Record({})
        self.lock = anyio.Lock()
        self.read = False
        self.sure = True


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
        store: Store,
        known: Known,
        clock: Clock,
        lifetime: str,
        routers: Callable[[], int],
        contact: Contact,
    ) -> None:
        """Hold shares under ``lifetime``; ``routers`` tells how many share the totals."""
        self._store = store
        self._known = known
        self._clock = clock
        self._lifetime = lifetime
        self._routers = routers
        self._contact = contact
        self.borrow: Borrow = _nobody
        self._held: dict[str, _Held] = {}

    async def run(self) -> None:
        """Adjust the shares until cancelled."""
        while True:
            await self._adjust_all()
            await anyio.sleep(TICK_S)

    async def reserve(self, account: RouteAccount, tokens: int) -> Reservation | Refusal:
        """Set a worst case aside, growing the share if need be."""
        if account.total_tokens is None or tokens <= 0:
            return Reservation(None, 0)
        held = self._hold(account.name)
        if not held.share.fits(tokens):
            with anyio.move_on_after(WAIT_S):
                await self._grow(held, account, tokens)
        if held.share.fits(tokens):
            held.share.reserve(tokens)
            return Reservation(held.share, tokens)
        return self._short(account, held, tokens)

    def lend(self, name: str, tokens: int) -> int:
        """Give another router a part of a share; return the tokens given."""
        held = self._held.get(name)
        if held is None or held.lock.locked():
            # A write under way was worked out with what is here now.
            return 0
        return held.share.lend(tokens)

    def dump(self) -> dict[str, dict[str, float]]:
        """Return the shares for operators."""
        return {
            name: {
                'granted_tokens': held.share.granted,
                'spent_tokens': held.share.spent,
                'reserved_tokens': held.share.reserved,
                'others_tokens': held.share.others,
            }
            for name, held in self._held.items()
        }

    def ready(self) -> bool:
        """Tell whether each account with a total has been read once."""
        book = self._known.book
        if book is None:
            return False
        budgeted = [one.name for one in book.accounts.values() if one.total_tokens is not None]
        return all(name in self._held and self._held[name].read for name in budgeted)

    async def _grow(self, held: _Held, account: RouteAccount, tokens: int) -> None:
        """Make room for a worst case: from the store, else from other routers."""
        if not self._contact.away:
            await self._change(held, account.name, tokens)
        missing = held.share.used + tokens - held.share.granted
        if missing > 0:
            async with held.lock:
                held.share.borrowed(await self.borrow(account.name, missing))

    async def _adjust_all(self) -> None:
        book = self._known.book
        if book is None:
            return
        now_unix_s = self._clock.now_s()
        async with anyio.create_task_group() as group:
            for account in book.accounts.values():
                if account.total_tokens is None:
                    continue
                held = self._hold(account.name)
                held.share.observe(now_unix_s)
                asking = held.share.worth_asking(account.total_tokens, self._routers())
                if asking or not held.read or not held.sure:
                    group.start_soon(self._change, held, account.name, 0)

    def _hold(self, name: str) -> _Held:
        held = self._held.get(name)
        if held is None:
            held = _Held(Share(self._lifetime, self._clock.now_s()))
            self._held[name] = held
        return held

    def _total(self, name: str) -> int:
        book = self._known.book
        account = book.accounts.get(name) if book else None
        return account.total_tokens or 0 if account else 0

    async def _change(self, held: _Held, name: str, tokens: int) -> None:
        """Bring the grant to what is wanted; does nothing while the store is away."""
        async with held.lock:
            if tokens and held.share.fits(tokens):
                return
            try:
                await self._settle_on(held, name, tokens)
            except StoreUnreachable as error:
                events.GRANT_SHORT.log(account=name, needed_tokens=tokens, reason=str(error))
            except StoreUnsure as error:
                held.sure = False
                events.GRANT_SHORT.log(account=name, needed_tokens=tokens, reason=str(error))

    async def _settle_on(self, held: _Held, name: str, tokens: int) -> None:
        for _ in range(TRIES):
            if not held.read or not held.sure:
                await self._read(held, name)
            wanted = held.share.wanted(self._total(name), self._routers(), tokens)
            if wanted == held.share.granted and held.sure:
                return
            if await self._swap(held, name, wanted):
                return

    async def _read(self, held: _Held, name: str) -> None:
        stored = await self._store.read(PREFIX + name, self._clock.now_s() + CALL_S)
        self._learn(held, stored)

    def _learn(self, held: _Held, stored: Stored | Absent) -> None:
        if isinstance(stored, Absent) or stored.value is None:
            held.version, held.record = 0, Record({})
        else:
            held.version, held.record = stored.version, decode(stored.value)
        held.share.learn(held.record)
        held.read = True

    async def _swap(self, held: _Held, name: str, wanted: int) -> bool:
        """Write the grant; False when another router was first.

        A grant that shrinks is given up before it is written, one that grows
        is used after the answer: with the answer lost, this router believes
        the less of both, until a later write has taken the record's place.
        """
        share = held.share
        record = share.entered(held.record, wanted)
        share.granted = min(share.granted, wanted)
        written = await self._store.swap(
            PREFIX + name, encode(record), held.version, self._clock.now_s() + CALL_S
        )
        if isinstance(written, Conflict):
            held.read = False
            return False
        events.GRANT.log(
            account=name, granted_tokens=wanted, version=written.version, others_tokens=share.others
        )
        share.granted = wanted
        held.version, held.record, held.sure = written.version, record, True
        share.learn(record)
        return True

    def _short(self, account: RouteAccount, held: _Held, tokens: int) -> Refusal:
        total = account.total_tokens or 0
        events.GRANT_SHORT.log(
            account=account.name,
            needed_tokens=tokens,
            granted_tokens=held.share.granted,
            used_tokens=held.share.used,
            free_tokens=held.share.free(total),
            reason='share',
        )
        if held.read and held.share.exhausted(total, tokens):
            reason = f'{tokens} tokens at most do not fit into what is left of the prepaid total'
            return Refusal('budget_exhausted', reason, NOT_RUN, PAYMENT_REQUIRED)
        reason = 'the share of the prepaid total that this router holds does not cover the request'
        return Refusal('budget_unreachable', reason, NOT_RUN, UNAVAILABLE, AGAIN_S)


async def _nobody(account: str, tokens: int) -> int:
    return 0
