"""Release of stranded tokens by an operator who states how many were spent.

The fleet frees the tokens of a failed holder itself if it can determine all its runs.  If
a sidecar failed together with the holder, that is impossible; the operator may find the
usage in the engine's own records or decide to bear the difference.
"""

from endivesaddle.fleet.budgets import records
from endivesaddle.fleet.budgets.direct_transfers import HolderEpoch
from endivesaddle.fleet.budgets.top_ups import Accepted, ChangeRejected, NotAccepted, Unknown, save
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.ports import Store


async def write_off(
    store: Store,
    clock: Clock,
    account: str,
    holder_epoch: HolderEpoch,
    spent_tokens: int,
    deadline_unix_s: float,
) -> Accepted | Unknown | NotAccepted:
    """Count ``spent_tokens`` of a past epoch's stranded entry as spent; free the rest.

    The entry is identified by its data centre and epoch.  After a lost reply the record is
    read again: an entry that this call removed is missing then.  A later call finds no
    entry and is rejected.
    """

    tried = False

    def change(record: records.ShardRecord) -> bool:
        nonlocal tried  # noqa: WPS420 (distinguishes a lost reply from an invalid call)
        budget = record['budgets'].get(account) or records.new_budget()
        entries = [entry for entry in budget['stranded'] if (entry[0], entry[1]) == holder_epoch]
        if not entries and tried:
            # The reply to this call's own write was lost; a rejection would be wrong.
            return False
        if not entries:
            raise ChangeRejected(
                f'{account} has nothing stranded of {holder_epoch.data_centre}/{holder_epoch.epoch}'
            )
        entry = entries[0]
        if not entry.settled <= spent_tokens <= entry.ceiling:
            raise ChangeRejected(f'between {entry.settled} and {entry.ceiling} tokens were spent')
        tried = True
        budget['stranded'].remove(entry)
        budget['spent'] += spent_tokens
        return True

    return await save(store, clock, account, change, deadline_unix_s)
