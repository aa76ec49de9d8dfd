"""Release stranded tokens as part of a holder's write."""

from endivesaddle.fleet.budgets import direct_transfers, records
from endivesaddle.fleet.budgets.epoch_usage import EpochUsage


def release(record: records.ShardRecord, usage: EpochUsage) -> bool:
    """Release the stranded tokens of a past epoch, as far as its runs are known."""
    if not usage.complete:
        return False
    changed = False
    for account, budget in record['budgets'].items():
        for transfer_id, transfer in usage.received.get(account, {}).items():
            is_new = transfer_id not in budget['moves']
            recorded = direct_transfers.record_transfer(
                record, account, transfer_id, transfer, usage.holder_epoch
            )
            changed = changed or (is_new and recorded)
        usage.drop_recorded(account, budget['moves'])
        changed = _release(budget, account, usage) or changed
    return remove_past_holder(record, usage) or changed


def remove_past_holder(record: records.ShardRecord, usage: EpochUsage) -> bool:
    """Remove a past holder from the record once no stranded tokens refer to it."""
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
        entry_left: records.Stranded | None = entry
        if (entry.data_centre, entry.epoch) == usage.holder_epoch:
            entry_left = _remaining_entry(budget, entry, account, usage)
        if entry_left is not None:
            budget['stranded'].append(entry_left)
    return before != budget['stranded']


def _remaining_entry(
    budget: records.Budget, entry: records.Stranded, account: str, usage: EpochUsage
) -> records.Stranded | None:
    released = usage.release(account, entry)
    if released is None:
        return entry
    if released.spent_tokens < 0:
        return entry._replace(ceiling=released.ceiling)
    budget['spent'] += released.spent_tokens
    return None
