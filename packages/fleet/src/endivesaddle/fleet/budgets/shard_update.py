"""What a holder changes in its shard's record with one write.

Every write covers all accounts of the shard: settled tokens, ceilings raised
ahead of need, and headroom given back.
"""

from endivesaddle.fleet.budgets import records
from endivesaddle.fleet.budgets.direct_transfers import TransferUpdate
from endivesaddle.fleet.budgets.errors import EpochSuperseded
from endivesaddle.fleet.budgets.held import HeldShard
from endivesaddle.fleet.budgets.ledger import Ledger
from endivesaddle.fleet.budgets.releasing import release
from endivesaddle.fleet.budgets.settings import BudgetSettings

_NOTHING = records.Grant(0, 0, 0)
_LOW_PART = 2
"""Below this part of the target a ceiling is raised; this often above it is given back."""


def ahead_tokens(ledger: Ledger, settings: BudgetSettings, now_unix_s: float) -> int:
    """Return the headroom that a ledger should have beyond what waits."""
    if ledger.used_unix_s + settings.idle_s < now_unix_s:
        return 0
    by_rate = int(ledger.rate_tokens_per_s * settings.ahead_s)
    return max(settings.least_ahead_tokens, by_rate)


def is_low(ledger: Ledger, settings: BudgetSettings, now_unix_s: float) -> bool:
    """Tell whether a ceiling should be raised before anyone has to wait."""
    return ledger.headroom < ahead_tokens(ledger, settings, now_unix_s) // _LOW_PART


class ShardUpdate:
    """One write of a shard: apply it to a record, then ``confirm`` it."""

    def __init__(
        self, held: HeldShard, settings: BudgetSettings, fleet: str, now_unix_s: float
    ) -> None:
        """Plan for what is in memory now; reservations from here on are of a new batch."""
        self._held = held
        self._settings = settings
        self._fleet = fleet
        self._now_unix_s = now_unix_s
        self._ceilings: dict[str, int] = {}
        self._folded: set[str] = set()
        self._transfer_updates: dict[str, TransferUpdate] = {}
        self._yielding = {name: ledger.yielding for name, ledger in held.ledgers.items()}
        self._write_unconfirmed = held.write_unconfirmed
        held.batch = max(held.batch + 1, int(now_unix_s))
        self._batch = held.batch

    def __call__(self, record: records.ShardRecord) -> bool:
        """Change a record; raise ``EpochSuperseded`` where it shows a later holder."""
        held = self._held
        check_epoch(record, held)
        self._ceilings = {}
        self._folded = set()
        before = record['holders'][held.data_centre]
        own = self._describe(record, before)
        record['holders'][held.data_centre] = own
        # A write whose answer was lost may still arrive.  Only a later one that is
        # confirmed rules that out, so there has to be one: without it, an account
        # whose grant that write folded was billed for the same requests again.
        changed = own != before or self._write_unconfirmed
        for usage in held.past_epochs.values():
            changed = release(record, usage) or changed
        for account, ledger in held.ledgers.items():
            budget = record['budgets'].get(account)
            if budget is not None:
                changed = self._grant(account, budget, record) or changed
        return changed

    def confirm(self, record: records.ShardRecord) -> None:
        """Use what the store now grants.

        Only a confirmed write raises a ceiling here.  A read would not do: an older
        write that gave tokens back, its answer lost, could still arrive after it, and
        the tokens be spent twice.  The confirmed write's version rules that out.
        """
        held = self._held
        for account, ceiling in self._ceilings.items():
            ledger = held.ledgers[account]
            self._transfer_updates[account].confirm(ledger)
            ledger.stored = ceiling
            ledger.yielding = 0
            ledger.offering = 0
            self._settle_fold(account, ledger)
            grant = record['budgets'][account]['grants'].get(held.data_centre, _NOTHING)
            ledger.forget(self._now_unix_s - self._settings.records_kept_s, grant.batch)
        held.write_unconfirmed = False
        held.receivers = dict(record['holders'][held.data_centre]['others'])
        for epoch, usage in list(held.past_epochs.items()):
            if records.sealed_key(*usage.holder_epoch) not in record['sealed']:
                held.past_epochs.pop(epoch)

    def cancel(self) -> None:
        """Go back to before the plan: none of its writes was or will be made."""
        for account, ledger in self._held.ledgers.items():
            ledger.offering = 0
            ledger.yielding = self._yielding.get(account, 0)

    def _settle_fold(self, account: str, ledger: Ledger) -> None:
        if account in self._folded:
            ledger.folded()
            ledger.stored = 0
        ledger.folding = 0

    def _describe(self, record: records.ShardRecord, before: records.Holder) -> records.Holder:
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
        # Whoever may hold tokens from here is named until the store shows them there:
        # when this holder is lost, its successor has to ask just that epoch.
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
        # First, as a transfer that is entered would hide that the grant is folded.
        changed = self._unfold(budget, ledger)
        changed = transfer_update.apply(ledger) or changed
        grant = budget['grants'].get(held.data_centre, _NOTHING)
        ceiling = self._ceiling(budget, grant, ledger, transfer_update.ceiling_change_tokens)
        self._ceilings[account] = ceiling
        shown = ledger.stored + transfer_update.ceiling_change_tokens
        # Where an earlier write is in doubt there is something to write, for its own sake.
        changed = changed or shown != grant.ceiling or bool(ledger.yielding or ledger.folding)
        # Tokens may be freed here from now on: stop using them before this is sent.
        ledger.yielding = max(ledger.yielding, shown - ceiling)
        wanted = self._checkpoint(grant, ledger, ceiling)
        fleet_batch = record['holders'][held.data_centre]['fleet_batch']
        if wanted[:2] != grant[:2] or self._is_old(grant, wanted, fleet_batch):
            budget['grants'][held.data_centre] = wanted
            changed = True
        return self._fold(account, budget, ledger, wanted) or changed

    def _checkpoint(self, grant: records.Grant, ledger: Ledger, ceiling: int) -> records.Grant:
        settled, batch = ledger.checkpoint(self._batch)
        if settled > ceiling:
            # Tokens that came directly aren't in the record yet: keep the older count.
            return grant._replace(ceiling=ceiling)
        return records.Grant(ceiling, settled, batch)

    def _fold(
        self, account: str, budget: records.Budget, ledger: Ledger, wanted: records.Grant
    ) -> bool:
        # A grant that is spent to its last token and idle becomes one sum, and holds
        # only the batch from which on nothing is counted yet.
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
        # The answer to the write that folded this grant was lost: begin from before it.
        grant = budget['grants'].get(self._held.data_centre, _NOTHING)
        if not ledger.folding or grant.ceiling:
            return False
        budget['spent'] -= ledger.folding
        unfolded = grant._replace(ceiling=ledger.folding, settled=ledger.folding)
        budget['grants'][self._held.data_centre] = unfolded
        return True

    def _is_old(self, grant: records.Grant, wanted: records.Grant, fleet_batch: int) -> bool:
        # What ran since an old batch can't be found out when this holder is lost.
        if not grant.ceiling:
            return False
        oldest = max(fleet_batch, self._batch - int(self._settings.records_kept_s / _LOW_PART))
        return grant.batch < min(wanted.batch, oldest)

    def _ceiling(
        self,
        budget: records.Budget,
        grant: records.Grant,
        ledger: Ledger,
        ceiling_change_tokens: int,
    ) -> int:
        # What the record has to grant at least: all that is reserved and settled, less
        # the tokens that came directly and aren't in it, plus those that went and are.
        beyond = ledger.ceiling - (ledger.stored - ledger.yielding) - ceiling_change_tokens
        committed = ledger.settled + ledger.reserved - beyond
        queued = ledger.queued_tokens
        headroom = grant.ceiling - committed
        target = ahead_tokens(ledger, self._settings, self._now_unix_s)
        if ledger.offering:
            return grant.ceiling - max(0, min(ledger.offering, headroom))
        if headroom > queued + target * _LOW_PART:
            return committed + queued + target
        if headroom - queued >= target // _LOW_PART:
            return grant.ceiling
        if ledger.pending.gave_unix_s + self._settings.fresh_s > self._now_unix_s:
            # Leave what was just given back to the holder that asked for it.
            return grant.ceiling
        wanted = queued + target - headroom
        return grant.ceiling + self._share(budget, wanted, queued - headroom)

    def _share(self, budget: records.Budget, wanted: int, needed: int) -> int:
        # Near the end of a budget a holder takes what it needs at once and a fair
        # part of the rest, so that one data centre doesn't keep it from the others.
        free = max(0, records.free_tokens(budget))
        fair = free // (len(self._held.saved.record['holders']) + 1)
        return max(0, min(free, max(needed, min(wanted, fair))))


def check_epoch(record: records.ShardRecord, held: HeldShard) -> None:
    """Raise ``EpochSuperseded`` unless the record names this epoch as the latest."""
    holder = record['holders'].get(held.data_centre)
    if holder is None or holder['epoch'] != held.epoch:
        raise EpochSuperseded(f'epoch {held.epoch} of shard {held.shard} is passed')
