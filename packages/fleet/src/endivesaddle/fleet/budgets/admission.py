"""Admit a request's worst case, or wait for headroom, or refuse it.

Requests of one account wait in the order in which they came.  A later one may
overtake the first only as long as the first would still fit if all that was
outstanding when it came were settled to nothing: so small ones don't starve a
large one, and don't wait for it without need either.  A request that couldn't
fit even then is refused at once.
"""

from typing import NamedTuple

import anyio

from endivesaddle.fleet.budgets import records, shard_update
from endivesaddle.fleet.budgets.direct_transfers import HolderEpoch
from endivesaddle.fleet.budgets.held import HeldShard
from endivesaddle.fleet.budgets.ledger import Ledger, Waiter
from endivesaddle.fleet.budgets.settings import BudgetSettings
from endivesaddle.fleet.budgets.transfers import Transfers
from endivesaddle.fleet.clock import Clock, left_s
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal

EXHAUSTED = 'budget_exhausted'
UNREACHABLE = 'budget_unreachable'
_STATUS = 429
_UNREACHABLE_STATUS = 503
_RETRY_AFTER_S = 5.0
_HOPE_S = 30.0
"""A passed epoch's stranded tokens may come free for this long after it was seen."""


def refusal(ledger: Ledger, cause: str, reason: str) -> Refusal:
    """Refuse for want of tokens, and count it by its cause."""
    ledger.refused[cause] = ledger.refused.get(cause, 0) + 1
    return Refusal(EXHAUSTED, reason, NOT_RUN, _STATUS, _RETRY_AFTER_S)


class Waiting(NamedTuple):
    """When a request began to wait, and until when it may."""

    came_unix_s: float
    deadline_unix_s: float


class Admission:
    """The queue of each account of one holder."""

    def __init__(self, settings: BudgetSettings, transfers: Transfers, clock: Clock) -> None:
        """Admit by these settings; ``transfers`` gets headroom from elsewhere."""
        self._settings = settings
        self._transfers = transfers
        self._clock = clock

    def at_once(self, held: HeldShard, account: str, waiter: Waiter) -> bool:
        """Reserve without waiting, unless it would overtake another too far."""
        ledger = held.ledger(account)
        ledger.used_unix_s = self._clock.now_s()
        if waiter.request_key in ledger.open:
            return True
        return self._may_go(held, account, waiter) and self._reserve(held, ledger, waiter)

    async def wait(
        self, held: HeldShard, account: str, waiter: Waiter, deadline_unix_s: float
    ) -> Refusal | None:
        """Reserve as soon as it fits; None when reserved or the epoch is passed."""
        ledger = held.ledger(account)
        if not self._settings.waiting:
            deadline_unix_s = min(deadline_unix_s, self._clock.now_s() + self._settings.retry_s)
        came_unix_s = self._clock.now_s()
        ledger.queue.append(waiter)
        try:
            while not held.stop_reason:
                if self._may_go(held, account, waiter) and self._reserve(held, ledger, waiter):
                    return None
                refused = self._judge(held, account, waiter, Waiting(came_unix_s, deadline_unix_s))
                if refused is not None:
                    return refused
                await self._change(held, account, waiter, deadline_unix_s)
        finally:
            ledger.queue = [other for other in ledger.queue if other is not waiter]
            held.notify_change()
        return None

    def most(self, held: HeldShard, account: str) -> int:
        """Return what would be free if all that is outstanding were settled to nothing."""
        budget = held.budget(account)
        spent = budget['spent'] + held.ledger(account).settled
        spent += sum(
            grant.settled
            for data_centre, grant in budget['grants'].items()
            if data_centre != held.data_centre
        )
        spent += sum(self._gone(held, entry) for entry in budget['stranded'])
        return records.total_tokens(budget) - spent

    def _may_go(self, held: HeldShard, account: str, waiter: Waiter) -> bool:
        ledger = held.ledger(account)
        first = ledger.queue[0] if ledger.queue else waiter
        if first is waiter:
            return True
        since = ledger.since(first) + waiter.bound_tokens
        return first.bound_tokens + since <= self.most(held, account)

    def _reserve(self, held: HeldShard, ledger: Ledger, waiter: Waiter) -> bool:
        if not ledger.reserve(waiter.request_key, waiter.bound_tokens, held.batch):
            return False
        held.dirty = True
        if shard_update.is_low(ledger, self._settings, self._clock.now_s()):
            held.request_write()
        return True

    def _judge(
        self, held: HeldShard, account: str, waiter: Waiter, waiting: Waiting
    ) -> Refusal | None:
        ledger = held.ledger(account)
        # Failure: tokens are paid in and the next request comes at once.  Symptom: it is
        # refused by a record from before, though the budget is there.
        fresh = held.seen_unix_s >= waiting.came_unix_s
        fits = waiter.bound_tokens <= self.most(held, account)
        if fresh and not fits:
            return refusal(ledger, 'spent', f'{account}: the budget is spent')
        if not held.reachable and not fits and self._has_asked(ledger):
            # A top-up may have come that can't be seen: say so, not that all is spent.
            refused = refusal(ledger, 'unreachable', f'{account}: the store is out of reach')
            return refused._replace(code=UNREACHABLE, status=_UNREACHABLE_STATUS)
        if self._clock.now_s() >= waiting.deadline_unix_s:
            return refusal(ledger, 'deadline', f'{account}: no tokens came free in time')
        return None

    def _has_asked(self, ledger: Ledger) -> bool:
        """Tell whether the other holders were asked for headroom just now.

        Failure: the store goes down before this holder has seen a new budget or a
        top-up.  Symptom: it refuses what the others hold headroom for.  Whoever has
        seen the tokens gives of them, so they are asked before a refusal.
        """
        asked_until_unix_s = ledger.pending.asked_unix_s + self._settings.fresh_s
        return not self._settings.transfers or asked_until_unix_s >= self._clock.now_s()

    def _gone(self, held: HeldShard, entry: records.Stranded) -> int:
        since_unix_s = held.sealed_since_unix_s(HolderEpoch(entry.data_centre, entry.epoch))
        hopeful = since_unix_s + _HOPE_S > self._clock.now_s()
        return entry.settled if hopeful else entry.ceiling

    async def _change(
        self, held: HeldShard, account: str, waiter: Waiter, deadline_unix_s: float
    ) -> None:
        ledger = held.ledger(account)
        changed = held.next_change()
        held.request_write()
        wait_s = min(self._settings.retry_s, left_s(self._clock, deadline_unix_s))
        missing = waiter.bound_tokens - ledger.headroom
        with anyio.move_on_after(wait_s):
            if ledger.queue[0] is waiter and self._is_dry(held, account, missing):
                await self._transfers.ask(held, account, missing)
            await changed.wait()

    def _is_dry(self, held: HeldShard, account: str, missing: int) -> bool:
        # The store can't help: it has too little that is free, or isn't reached.
        if not self._settings.transfers:
            return False
        return not held.reachable or records.free_tokens(held.budget(account)) < missing
