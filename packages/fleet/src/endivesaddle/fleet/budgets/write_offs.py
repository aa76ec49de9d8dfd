"""Release of stranded tokens by an operator who vouches for what was spent.

The fleet frees the tokens of a lost holder by itself when it can prove what ran.
Where a sidecar was lost with it, nobody can; the operator may find out from the
engine's own records, or decide to bear the difference.
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
    """Count ``spent_tokens`` of a passed epoch's stranded entry as spent; free the rest.

    The entry is identified by its data centre and epoch.  A lost answer is read back: an
    entry that this call removed is gone.  A later call finds none and says so.
    """

    tried = False

    def change(record: records.ShardRecord) -> bool:
        nonlocal tried  # noqa: WPS420 (a lost answer is told from a wrong call by it)
        budget = record['budgets'].get(account) or records.new_budget()
        entries = [entry for entry in budget['stranded'] if (entry[0], entry[1]) == holder_epoch]
        if not entries and tried:
            # The answer to this call's own write was lost; "no" would be false.
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
