"""Budgets as operators see them: top-ups, balances, declared amounts.

Declared amounts go to the store shard by shard, so that a file of thousands of
accounts costs two calls for each shard and not for each account.
"""

import functools
from collections.abc import Mapping
from typing import NamedTuple

from endivesaddle.fleet.budgets import records, top_ups, write_offs
from endivesaddle.fleet.budgets.direct_transfers import HolderEpoch
from endivesaddle.fleet.budgets.errors import BadRecord, RecordWriteUnconfirmed
from endivesaddle.fleet.budgets.records_store import RecordStore
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import shard_of
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.ports import Store
from endivesaddle.operators.together import together

_SHARDS_AT_ONCE = 4
"""Each takes two milliseconds to read and write: more at once would stall callers."""


class Declarations(NamedTuple):
    """What became of declared amounts: accounts whose budget stays as it was, and why.

    ``refused`` can't be lowered that far; ``unsettled`` could not be written.
    """

    refused: dict[str, str]
    unsettled: dict[str, str]


class BudgetDesk:
    """Top-ups, balances and declared amounts over the port ``Store``."""

    def __init__(self, store: Store, clock: Clock) -> None:
        """Work on the shard records of the budgets."""
        self._store = store
        self._clock = clock
        self._records = RecordStore(store, clock)

    async def top_up(
        self, account: str, tokens: int, top_up_id: str, deadline_unix_s: float
    ) -> top_ups.Accepted | top_ups.AlreadyApplied | top_ups.Unknown | top_ups.NotAccepted:
        """Add tokens to an account's budget, once for each id."""
        return await top_ups.top_up(
            self._store, self._clock, account, tokens, top_up_id, deadline_unix_s
        )

    async def balance(
        self, account: str, deadline_unix_s: float
    ) -> top_ups.Balance | top_ups.Unknown:
        """Return what the store knows of an account."""
        return await top_ups.balance(self._store, self._clock, account, deadline_unix_s)

    async def write_off(
        self, account: str, holder_epoch: HolderEpoch, spent_tokens: int, deadline_unix_s: float
    ) -> top_ups.Accepted | top_ups.Unknown | top_ups.NotAccepted:
        """Count tokens of a lost holder as spent and free the rest."""
        return await write_offs.write_off(
            self._store, self._clock, account, holder_epoch, spent_tokens, deadline_unix_s
        )

    async def shortfalls(
        self, amounts: Mapping[str, int], deadline_unix_s: float
    ) -> dict[str, str]:
        """Return the accounts that can't be declared so low, and why; writes nothing."""
        found: dict[str, str] = {}

        async def look(shard: int, accounts: Mapping[str, int]) -> None:
            saved = await self._records.read(shard, deadline_unix_s)
            found.update(_shortfalls(saved.record, accounts))

        jobs = [functools.partial(look, *shard) for shard in _by_shard(amounts).items()]
        try:
            await together(jobs, _SHARDS_AT_ONCE)
        except BadRecord as error:
            raise StoreUnreachable(f'a budget record is not usable: {error}') from error
        return found

    async def declare(self, amounts: Mapping[str, int], deadline_unix_s: float) -> Declarations:
        """Set declared amounts; an account that can't be lowered stays as it is."""
        outcome = Declarations({}, {})
        jobs = [
            functools.partial(self._declare, shard, accounts, outcome, deadline_unix_s)
            for shard, accounts in _by_shard(amounts).items()
        ]
        await together(jobs, _SHARDS_AT_ONCE)
        return outcome

    async def _declare(
        self, shard: int, accounts: Mapping[str, int], outcome: Declarations, deadline_unix_s: float
    ) -> None:
        refused: dict[str, str] = {}
        change = functools.partial(_set_declared, accounts, refused)
        try:
            await self._records.update(shard, change, deadline_unix_s)
        except (BadRecord, RecordWriteUnconfirmed, StoreUnreachable) as error:
            outcome.unsettled.update(dict.fromkeys(accounts, str(error)))
        else:
            outcome.refused.update(refused)


def _set_declared(
    accounts: Mapping[str, int], refused: dict[str, str], record: records.ShardRecord
) -> bool:
    refused.clear()
    refused.update(_shortfalls(record, accounts))
    changed = False
    for account, tokens in accounts.items():
        budget = record['budgets'].setdefault(account, records.new_budget())
        declared = budget['top_ups'].get(top_ups.DECLARED)
        if account not in refused and declared != tokens:
            budget['top_ups'][top_ups.DECLARED] = tokens
            changed = True
    return changed


def _shortfalls(record: records.ShardRecord, accounts: Mapping[str, int]) -> dict[str, str]:
    found = {}
    for account, tokens in accounts.items():
        budget = record['budgets'].get(account, records.new_budget())
        declared = budget['top_ups'].get(top_ups.DECLARED, 0)
        least = declared - records.free_tokens(budget)
        if tokens < min(least, declared):
            found[account] = (
                f'{tokens} tokens are less than the {least} that are spent or granted to holders'
            )
    return found


def _by_shard(amounts: Mapping[str, int]) -> dict[int, dict[str, int]]:
    shards: dict[int, dict[str, int]] = {}
    for account, tokens in amounts.items():
        shards.setdefault(shard_of(account), {})[account] = tokens
    return shards
