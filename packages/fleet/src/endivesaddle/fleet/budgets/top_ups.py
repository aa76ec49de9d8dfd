"""Top-ups and declared budgets, as made by the operators' commands.

A top-up is counted once by its id.  Success is never reported wrongly: after a write
whose reply was lost the record is read again, and if that fails too, the outcome is
"unknown" and the operator repeats the top-up with the same id.
"""

from typing import NamedTuple

from endivesaddle.fleet.budgets import events, records
from endivesaddle.fleet.budgets.errors import BadRecord, RecordWriteUnconfirmed
from endivesaddle.fleet.budgets.records_store import Change, RecordStore
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import shard_of
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.ports import Store

DECLARED = 'declared'
"""Id of the pseudo top-up that stores the declared base amount."""


class Accepted(NamedTuple):
    """The top-up took effect; ``total_tokens`` is the sum of all tokens paid in."""

    total_tokens: int


class AlreadyApplied(NamedTuple):
    """A top-up with this id was applied before."""

    total_tokens: int


class Unknown(NamedTuple):
    """The top-up may or may not have taken effect; repeat it with the same id."""

    reason: str


class NotAccepted(NamedTuple):
    """The top-up did not take effect and will not do so later."""

    reason: str


class Balance(NamedTuple):
    """The stored balance of an account, in tokens.

    ``granted_tokens`` are granted to holders and not known to be spent.
    """

    total_tokens: int
    spent_tokens: int
    granted_tokens: int
    stranded_tokens: int
    free_tokens: int


class ChangeRejected(Exception):
    """A change that the record doesn't allow; the message is the reason."""


class _TopUp:
    """One top-up as a record change; ``repeated`` is set if it was already in the record."""

    def __init__(self, account: str, tokens: int, top_up_id: str) -> None:
        self._account = account
        self._tokens = tokens
        self._id = top_up_id
        self._tried = False
        self.repeated = False

    def __call__(self, record: records.ShardRecord) -> bool:
        budget = record['budgets'].setdefault(self._account, records.new_budget())
        if records.has_top_up(budget, self._id):
            counted_tokens = budget['top_ups'].get(self._id, self._tokens)
            if counted_tokens != self._tokens:
                raise ChangeRejected(f'top-up {self._id} was made with {counted_tokens} tokens')
            # Found on a retry only: written by this call or a concurrent one with this id.
            self.repeated = not self._tried
            return False
        self._tried = True
        budget['top_ups'][self._id] = self._tokens
        fold(budget)
        return True


async def top_up(
    store: Store,
    clock: Clock,
    account: str,
    tokens: int,
    top_up_id: str,
    deadline_unix_s: float,
) -> Accepted | AlreadyApplied | Unknown | NotAccepted:
    """Add tokens to an account's budget, only once for each ``top_up_id``."""
    if tokens <= 0 or not top_up_id or top_up_id == DECLARED:
        return NotAccepted('a top-up needs an id of its own and more than 0 tokens')
    change = _TopUp(account, tokens, top_up_id)
    outcome = await save(store, clock, account, change, deadline_unix_s)
    if isinstance(outcome, Accepted) and change.repeated:
        return AlreadyApplied(outcome.total_tokens)
    return outcome


async def declare(
    store: Store,
    clock: Clock,
    account: str,
    budget_tokens: int,
    deadline_unix_s: float,
) -> Accepted | Unknown | NotAccepted:
    """Set the declared base amount; the total can't fall below the tokens in use."""

    def change(record: records.ShardRecord) -> bool:
        budget = record['budgets'].setdefault(account, records.new_budget())
        declared = budget['top_ups'].get(DECLARED, 0)
        if budget_tokens - declared + records.free_tokens(budget) < 0:
            raise ChangeRejected('that is less than what is granted or spent')
        budget['top_ups'][DECLARED] = budget_tokens
        return budget_tokens != declared

    if budget_tokens < 0:
        return NotAccepted('a budget is not negative')
    return await save(store, clock, account, change, deadline_unix_s)


async def balance(
    store: Store, clock: Clock, account: str, deadline_unix_s: float
) -> Balance | Unknown:
    """Return the stored balance of an account."""
    try:
        saved = await RecordStore(store, clock).read(shard_of(account), deadline_unix_s)
    except (StoreUnreachable, BadRecord) as error:
        return Unknown(str(error))
    budget = saved.record['budgets'].get(account, records.new_budget())
    stranded = sum(entry.ceiling - entry.settled for entry in budget['stranded'])
    return Balance(
        total_tokens=records.total_tokens(budget),
        spent_tokens=records.known_spent_tokens(budget),
        granted_tokens=sum(grant.ceiling - grant.settled for grant in budget['grants'].values()),
        stranded_tokens=stranded,
        free_tokens=records.free_tokens(budget),
    )


def fold(budget: records.Budget) -> None:
    """Replace old top-ups by their sum; hashes of their ids prevent counting one twice."""
    recent = [top_up_id for top_up_id in budget['top_ups'] if top_up_id != DECLARED]
    for top_up_id in recent[: -records.RECENT_TOP_UPS]:
        budget['folded_tokens'] += budget['top_ups'].pop(top_up_id)
        budget['folded_ids'] += records.id_hash(top_up_id)


async def save(
    store: Store, clock: Clock, account: str, change: Change, deadline_unix_s: float
) -> Accepted | Unknown | NotAccepted:
    """Change an account's record; after a lost reply the record is read again."""
    shard = shard_of(account)
    try:
        saved = await RecordStore(store, clock).update(shard, change, deadline_unix_s)
    except (ChangeRejected, BadRecord, StoreUnreachable) as error:
        return NotAccepted(str(error))
    except RecordWriteUnconfirmed as error:
        return Unknown(str(error))
    total_tokens = records.total_tokens(saved.record['budgets'][account])
    events.TOP_UP.log(account=account, total_tokens=total_tokens)
    return Accepted(total_tokens)
