"""The changes that a holder makes to its shard's record in one write.

Every write covers all accounts of the shard: it stores settled tokens, raises ceilings
ahead of demand and returns unneeded headroom.
"""

from endivesaddle.fleet.budgets import records
from endivesaddle.fleet.budgets.direct_transfers import TransferUpdate
from endivesaddle.fleet.budgets.errors import EpochSuperseded
from endivesaddle.fleet.budgets.held import HeldShard
from endivesaddle.fleet.budgets.ledger import Ledger
from endivesaddle.fleet.budgets.releasing import release
from endivesaddle.fleet.budgets.settings import BudgetSettings

_NO_GRANT = records.Grant(0, 0, 0)
_LOW_DIVISOR = 2
"""Headroom below target / 2 is raised; above target * 2 the excess is returned."""


def ahead_tokens(ledger: Ledger, settings: BudgetSettings, now_unix_s: float) -> int:
    """Return the headroom that a ledger should have in addition to waiting requests."""
    if ledger.used_unix_s + settings.idle_s < now_unix_s:
        return 0
    by_rate = int(ledger.rate_tokens_per_s * settings.ahead_s)
    return max(settings.least_ahead_tokens, by_rate)


def is_low(ledger: Ledger, settings: BudgetSettings, now_unix_s: float) -> bool:
    """Return whether a ceiling should be raised before requests have to wait."""
    return ledger.headroom < ahead_tokens(ledger, settings, now_unix_s) // _LOW_DIVISOR


class ShardUpdate:
    """One write of a shard: call it with a record to apply it, then ``confirm`` it."""

    def __init__(
        self, held: HeldShard, settings: BudgetSettings, fleet: str, now_unix_s: float
    ) -> None:
        """Initialize from the current state; later reservations belong to a new batch."""
        self._held = held
        self._settings = settings
        self._fleet = fleet
        self._now_unix_s = now_unix_s
        self._ceilings: dict[str, int] = {}
        self._folded: set[str] = set()
        self._transfer_updates: dict[str, TransferUpdate] = {}
        self._returning = {name: ledger.returning for name, ledger in held.ledgers.items()}
        self._write_unconfirmed = held.write_unconfirmed
        held.batch = max(held.batch + 1, int(now_unix_s))
        self._batch = held.batch

    def __call__(self, record: records.ShardRecord) -> bool:
        """Update a record; raises ``EpochSuperseded`` if it names a later holder."""
        held = self._held
        check_epoch(record, held)
        self._ceilings = {}
        self._folded = set()
        before = record['holders'][held.data_centre]
        own = self._holder_entry(record, before)
        record['holders'][held.data_centre] = own
        # A write whose reply was lost may still arrive.  Only a later, confirmed write
        # rules that out, so one is made even if nothing else changed: without it, an account
        # whose grant was folded by the lost write was billed for the same requests again.
        changed = own != before or self._write_unconfirmed
        for usage in held.past_epochs.values():
            changed = release(record, usage) or changed
        for account, ledger in held.ledgers.items():
            budget = record['budgets'].get(account)
            if budget is not None:
                changed = self._grant(account, budget, record) or changed
        return changed

    def confirm(self, record: records.ShardRecord) -> None:
        """Apply the ceilings that the store has granted with this write.

        Only a confirmed write raises a ceiling in memory.  A read is not sufficient: an
        older write that returned tokens and whose reply was lost could still arrive after
        the read, and the tokens would be spent twice.  The version check of the confirmed
        write rules that out.
        """
        held = self._held
        for account, ceiling in self._ceilings.items():
            ledger = held.ledgers[account]
            self._transfer_updates[account].confirm(ledger)
            ledger.granted = ceiling
            ledger.returning = 0
            ledger.offered = 0
            self._settle_fold(account, ledger)
            grant = record['budgets'][account]['grants'].get(held.data_centre, _NO_GRANT)
            ledger.drop_settled(self._now_unix_s - self._settings.records_kept_s, grant.batch)
        held.write_unconfirmed = False
        held.receivers = dict(record['holders'][held.data_centre]['others'])
        for epoch, usage in list(held.past_epochs.items()):
            if records.sealed_key(*usage.holder_epoch) not in record['sealed']:
                held.past_epochs.pop(epoch)

    def cancel(self) -> None:
        """Revert the in-memory changes; no write of this update took or will take effect."""
        for account, ledger in self._held.ledgers.items():
            ledger.offered = 0
            ledger.returning = self._returning.get(account, 0)

    def _settle_fold(self, account: str, ledger: Ledger) -> None:
        if account in self._folded:
            ledger.confirm_fold()
            ledger.granted = 0
        ledger.folding = 0

    def _holder_entry(self, record: records.ShardRecord, before: records.Holder) -> records.Holder:
        held = self._held
        own = before.copy()
        if own['fleet'] != self._fleet:
            own['fleet'] = self._fleet
            own['fleet_batch'] = self._batch
        own['others'] = {
            data_centre: other['epoch']
            for data_centre, other in record['holders'].items()
            if data_centre != held.data_centre
        }
        # Each epoch that may have tokens from this holder is listed until the store has
        # recorded the transfer: after a failure the successor has to ask that epoch.
        for ledger in held.ledgers.values():
            own['others'].update(
                (transfer.data_centre, transfer.epoch) for transfer in ledger.pending.given.values()
            )
        for data_centre, epoch in list(held.receivers.items()):
            if own['others'].get(data_centre) != epoch:
                held.receivers.pop(data_centre)
        return own

    def _grant(self, account: str, budget: records.Budget, record: records.ShardRecord) -> bool:
        held = self._held
        ledger = held.ledgers[account]
        transfer_update = TransferUpdate(record, account, held.holder_epoch)
        self._transfer_updates[account] = transfer_update
        # This comes first because recording a transfer would hide that the grant was folded.
        changed = self._unfold(budget, ledger)
        changed = transfer_update.apply(ledger) or changed
        grant = budget['grants'].get(held.data_centre, _NO_GRANT)
        ceiling = self._ceiling(budget, grant, ledger, transfer_update.ceiling_change_tokens)
        self._ceilings[account] = ceiling
        recorded_ceiling = ledger.granted + transfer_update.ceiling_change_tokens
        # An earlier write that is unconfirmed requires another write by itself.
        changed = (
            changed or recorded_ceiling != grant.ceiling or bool(ledger.returning or ledger.folding)
        )
        # This write may free tokens: stop using them before it is sent.
        ledger.returning = max(ledger.returning, recorded_ceiling - ceiling)
        wanted = self._checkpoint(grant, ledger, ceiling)
        fleet_batch = record['holders'][held.data_centre]['fleet_batch']
        if wanted[:2] != grant[:2] or self._is_old(grant, wanted, fleet_batch):
            budget['grants'][held.data_centre] = wanted
            changed = True
        return self._fold(account, budget, ledger, wanted) or changed

    def _checkpoint(self, grant: records.Grant, ledger: Ledger, ceiling: int) -> records.Grant:
        settled, batch = ledger.checkpoint(self._batch)
        if settled > ceiling:
            # Directly transferred tokens aren't in the record yet: keep the older count.
            return grant._replace(ceiling=ceiling)
        return records.Grant(ceiling, settled, batch)

    def _fold(
        self, account: str, budget: records.Budget, ledger: Ledger, wanted: records.Grant
    ) -> bool:
        # A fully spent and idle grant is folded into the account's spent tokens.  It keeps
        # only its batch: usage from this batch on has not been counted yet.
        idle = not ahead_tokens(ledger, self._settings, self._now_unix_s) and ledger.is_done
        spent = wanted.ceiling == wanted.settled == ledger.settled
        if not wanted.ceiling or not idle or not spent:
            return False
        budget['grants'][self._held.data_centre] = records.Grant(0, 0, self._batch)
        budget['spent'] += wanted.settled
        ledger.folding = wanted.settled
        self._folded.add(account)
        return True

    def _unfold(self, budget: records.Budget, ledger: Ledger) -> bool:
        # The reply to the write that folded this grant was lost: restore the grant first.
        grant = budget['grants'].get(self._held.data_centre, _NO_GRANT)
        if not ledger.folding or grant.ceiling:
            return False
        budget['spent'] -= ledger.folding
        unfolded = grant._replace(ceiling=ledger.folding, settled=ledger.folding)
        budget['grants'][self._held.data_centre] = unfolded
        return True

    def _is_old(self, grant: records.Grant, wanted: records.Grant, fleet_batch: int) -> bool:
        # If this holder failed, the runs since an old batch could not be determined.
        if not grant.ceiling:
            return False
        oldest = max(fleet_batch, self._batch - int(self._settings.records_kept_s / _LOW_DIVISOR))
        return grant.batch < min(wanted.batch, oldest)

    def _ceiling(
        self,
        budget: records.Budget,
        grant: records.Grant,
        ledger: Ledger,
        ceiling_change_tokens: int,
    ) -> int:
        # The record has to grant at least the reserved and settled tokens, minus directly
        # received tokens that it doesn't include, plus given tokens that it still includes.
        unrecorded = ledger.ceiling - (ledger.granted - ledger.returning) - ceiling_change_tokens
        committed = ledger.settled + ledger.reserved - unrecorded
        queued = ledger.queued_tokens
        headroom = grant.ceiling - committed
        target = ahead_tokens(ledger, self._settings, self._now_unix_s)
        if ledger.offered:
            return grant.ceiling - max(0, min(ledger.offered, headroom))
        if headroom > queued + target * _LOW_DIVISOR:
            return committed + queued + target
        if headroom - queued >= target // _LOW_DIVISOR:
            return grant.ceiling
        if ledger.pending.gave_unix_s + self._settings.fresh_s > self._now_unix_s:
            # Leave the tokens just returned to the holder that asked for them.
            return grant.ceiling
        wanted = queued + target - headroom
        return grant.ceiling + self._share(budget, wanted, queued - headroom)

    def _share(self, budget: records.Budget, wanted: int, needed: int) -> int:
        # When few tokens are free, a holder takes what it needs immediately and a fair
        # share of the rest, so that one data centre doesn't take them from the others.
        free = max(0, records.free_tokens(budget))
        fair = free // (len(self._held.saved.record['holders']) + 1)
        return max(0, min(free, max(needed, min(wanted, fair))))


def check_epoch(record: records.ShardRecord, held: HeldShard) -> None:
    """Raise ``EpochSuperseded`` unless the record names this epoch as the latest one."""
    holder = record['holders'].get(held.data_centre)
    if holder is None or holder['epoch'] != held.epoch:
        raise EpochSuperseded(f'epoch {held.epoch} of shard {held.shard} is superseded')
