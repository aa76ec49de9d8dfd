"""Release what was stranded, as part of a holder's write."""

from endivesaddle.fleet.budgets import direct_transfers, records
from endivesaddle.fleet.budgets.epoch_usage import EpochUsage


def release(record: records.ShardRecord, usage: EpochUsage) -> bool:
    """Release a passed epoch's stranded tokens as far as its runs are known."""
    if not usage.complete:
        return False
    changed = False
    for account, budget in record['budgets'].items():
        for transfer_id, transfer in usage.received.get(account, {}).items():
            fresh = transfer_id not in budget['moves']
            recorded = direct_transfers.record_transfer(
                record, account, transfer_id, transfer, usage.holder_epoch
            )
            changed = changed or (fresh and recorded)
        usage.drop_recorded(account, budget['moves'])
        changed = _release(budget, account, usage) or changed
    return forget(record, usage) or changed


def forget(record: records.ShardRecord, usage: EpochUsage) -> bool:
    """Forget a passed holder when no stranded tokens refer to it."""
    for budget in record['budgets'].values():
        if any(
            (entry.data_centre, entry.epoch) == usage.holder_epoch for entry in budget['stranded']
        ):
            return False
    return record['sealed'].pop(records.sealed_key(*usage.holder_epoch), None) is not None


def _release(budget: records.Budget, account: str, usage: EpochUsage) -> bool:
    before = list(budget['stranded'])
    budget['stranded'] = []
    for entry in before:
        kept: records.Stranded | None = entry
        if (entry.data_centre, entry.epoch) == usage.holder_epoch:
            kept = _rest(budget, entry, account, usage)
        if kept is not None:
            budget['stranded'].append(kept)
    return before != budget['stranded']


def _rest(
    budget: records.Budget, entry: records.Stranded, account: str, usage: EpochUsage
) -> records.Stranded | None:
    found = usage.release(account, entry)
    if found is None:
        return entry
    if found.spent_tokens < 0:
        return entry._replace(ceiling=found.ceiling)
    budget['spent'] += found.spent_tokens
    return None
