"""Reserve the worst case of a request, wait for headroom, or refuse the request.

Requests of one account wait in order of arrival.  A later request may overtake the
first one only while the first would still fit if all reservations that were open when
it arrived were settled with 0 tokens.  This way small requests neither starve a large
one nor wait for it unnecessarily.  A request that would not fit even then is refused
immediately.
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
_STRANDED_WAIT_S = 30.0
"""How long after a past epoch was first seen its stranded tokens are expected to be freed."""


def refusal(ledger: Ledger, cause: str, reason: str) -> Refusal:
    """Return a refusal for lack of tokens, counted by ``cause`` in the ledger."""
    ledger.refused[cause] = ledger.refused.get(cause, 0) + 1
    return Refusal(EXHAUSTED, reason, NOT_RUN, _STATUS, _RETRY_AFTER_S)


class WaitInterval(NamedTuple):
    """Arrival time and deadline of a waiting request."""

    arrived_unix_s: float
    deadline_unix_s: float


class Admission:
    """Admission of requests to the budgets of one holder, with a queue for each account."""

    def __init__(self, settings: BudgetSettings, transfers: Transfers, clock: Clock) -> None:
        """Initialize; ``transfers`` requests headroom from other holders."""
        self._settings = settings
        self._transfers = transfers
        self._clock = clock

    def try_reserve(self, held: HeldShard, account: str, waiter: Waiter) -> bool:
        """Reserve without waiting; return False if that is not possible or would starve another."""
        ledger = held.ledger(account)
        ledger.used_unix_s = self._clock.now_s()
        if waiter.request_key in ledger.open:
            return True
        return self._may_proceed(held, account, waiter) and self._reserve(held, ledger, waiter)

    async def wait(
        self, held: HeldShard, account: str, waiter: Waiter, deadline_unix_s: float
    ) -> Refusal | None:
        """Wait for a reservation; return None when it is made or the shard is lost."""
        ledger = held.ledger(account)
        if not self._settings.waiting:
            deadline_unix_s = min(deadline_unix_s, self._clock.now_s() + self._settings.retry_s)
        arrived_unix_s = self._clock.now_s()
        ledger.queue.append(waiter)
        try:
            while not held.stop_reason:
                if self._may_proceed(held, account, waiter) and self._reserve(held, ledger, waiter):
                    return None
                refused = self._refusal_now(
                    held, account, waiter, WaitInterval(arrived_unix_s, deadline_unix_s)
                )
                if refused is not None:
                    return refused
                await self._wait_for_change(held, account, waiter, deadline_unix_s)
        finally:
            ledger.queue = [other for other in ledger.queue if other is not waiter]
            held.notify_change()
        return None

    def max_free_tokens(self, held: HeldShard, account: str) -> int:
        """Return the tokens that would be free if all open reservations were settled with 0."""
        budget = held.budget(account)
        unavailable = budget['spent'] + held.ledger(account).settled
        unavailable += sum(
            grant.settled
            for data_centre, grant in budget['grants'].items()
            if data_centre != held.data_centre
        )
        unavailable += sum(self._unavailable_tokens(held, entry) for entry in budget['stranded'])
        return records.total_tokens(budget) - unavailable

    def _may_proceed(self, held: HeldShard, account: str, waiter: Waiter) -> bool:
        ledger = held.ledger(account)
        first = ledger.queue[0] if ledger.queue else waiter
        if first is waiter:
            return True
        reserved_after = ledger.reserved_after(first) + waiter.bound_tokens
        return first.bound_tokens + reserved_after <= self.max_free_tokens(held, account)

    def _reserve(self, held: HeldShard, ledger: Ledger, waiter: Waiter) -> bool:
        if not ledger.reserve(waiter.request_key, waiter.bound_tokens, held.batch):
            return False
        held.dirty = True
        if shard_update.is_low(ledger, self._settings, self._clock.now_s()):
            held.request_write()
        return True

    def _refusal_now(
        self, held: HeldShard, account: str, waiter: Waiter, wait_interval: WaitInterval
    ) -> Refusal | None:
        ledger = held.ledger(account)
        # Failure: the account is topped up and the next request follows immediately.
        # Symptom: the request is refused on a record from before the top-up.
        record_is_recent = held.seen_unix_s >= wait_interval.arrived_unix_s
        fits = waiter.bound_tokens <= self.max_free_tokens(held, account)
        if record_is_recent and not fits:
            return refusal(ledger, 'spent', f'{account}: the budget is spent')
        if not held.reachable and not fits and self._has_asked(ledger):
            # There may be a top-up that can't be read: don't report the budget as spent.
            refused = refusal(ledger, 'unreachable', f'{account}: the store is unreachable')
            return refused._replace(code=UNREACHABLE, status=_UNREACHABLE_STATUS)
        if self._clock.now_s() >= wait_interval.deadline_unix_s:
            return refusal(
                ledger, 'deadline', f'{account}: no tokens were freed before the deadline'
            )
        return None

    def _has_asked(self, ledger: Ledger) -> bool:
        """Return whether the other holders were recently asked for headroom.

        Failure: the store goes down before this holder has read a new budget or a
        top-up.  Symptom: it refuses requests for which the other holders have headroom.
        A holder that has read the tokens transfers some of them, so the others are asked
        before a request is refused.
        """
        asked_until_unix_s = ledger.pending.asked_unix_s + self._settings.fresh_s
        return not self._settings.transfers or asked_until_unix_s >= self._clock.now_s()

    def _unavailable_tokens(self, held: HeldShard, entry: records.Stranded) -> int:
        since_unix_s = held.sealed_since_unix_s(HolderEpoch(entry.data_centre, entry.epoch))
        awaited = since_unix_s + _STRANDED_WAIT_S > self._clock.now_s()
        return entry.settled if awaited else entry.ceiling

    async def _wait_for_change(
        self, held: HeldShard, account: str, waiter: Waiter, deadline_unix_s: float
    ) -> None:
        ledger = held.ledger(account)
        changed = held.next_change()
        held.request_write()
        wait_s = min(self._settings.retry_s, left_s(self._clock, deadline_unix_s))
        missing_tokens = waiter.bound_tokens - ledger.headroom
        with anyio.move_on_after(wait_s):
            if ledger.queue[0] is waiter and self._needs_transfer(held, account, missing_tokens):
                await self._transfers.ask(held, account, missing_tokens)
            await changed.wait()

    def _needs_transfer(self, held: HeldShard, account: str, missing_tokens: int) -> bool:
        # The store can't grant the tokens: too few are free, or it is unreachable.
        if not self._settings.transfers:
            return False
        return not held.reachable or records.free_tokens(held.budget(account)) < missing_tokens
