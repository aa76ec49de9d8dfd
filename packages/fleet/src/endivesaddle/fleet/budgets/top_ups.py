"""Top-ups and declared budgets, as the operators' command makes them.

A top-up is counted once by its id.  Its result is never a false yes: a write
whose answer was lost is read back, and where that fails it is "unknown" and the
operator repeats it under the same id.
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
"""Id of the pseudo top-up that holds the declared base amount."""


class Accepted(NamedTuple):
    """The top-up counts; ``total_tokens`` is what was ever paid in."""

    total_tokens: int


class AlreadyApplied(NamedTuple):
    """The top-up counted before, under this id."""

    total_tokens: int


class Unknown(NamedTuple):
    """It may or may not count: repeat it under the same id."""

    reason: str


class NotAccepted(NamedTuple):
    """It doesn't count, nor will it."""

    reason: str


class Balance(NamedTuple):
    """What the store knows of an account; all in tokens.

    ``granted_tokens`` are with holders and not known to be spent.
    """

    total_tokens: int
    spent_tokens: int
    granted_tokens: int
    stranded_tokens: int
    free_tokens: int


class ChangeRejected(Exception):
    """A change that the record doesn't allow; its text is the reason."""


class _TopUp:
    """One top-up as a change of a record; remembers whether it was there before."""

    def __init__(self, account: str, tokens: int, top_up_id: str) -> None:
        self._account = account
        self._tokens = tokens
        self._id = top_up_id
        self._tried = False
        self.repeated = False

    def __call__(self, record: records.ShardRecord) -> bool:
        budget = record['budgets'].setdefault(self._account, records.new_budget())
        if records.has_top_up(budget, self._id):
            kept = budget['top_ups'].get(self._id, self._tokens)
            if kept != self._tokens:
                raise ChangeRejected(f'top-up {self._id} was made with {kept} tokens')
            # Found at a second look only: this call's own lost write, or its twin's.
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
    """Add tokens to an account's budget, once for each ``top_up_id``."""
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
    """Set the declared base amount; it can't fall below what is granted or spent."""

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
    """Return what the store knows of an account."""
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
    """Sum up old top-ups; their ids stay known by hash, so none counts twice."""
    recent = [top_up_id for top_up_id in budget['top_ups'] if top_up_id != DECLARED]
    for top_up_id in recent[: -records.RECENT_TOP_UPS]:
        budget['folded_tokens'] += budget['top_ups'].pop(top_up_id)
        budget['folded_ids'] += records.id_hash(top_up_id)


async def save(
    store: Store, clock: Clock, account: str, change: Change, deadline_unix_s: float
) -> Accepted | Unknown | NotAccepted:
    """Change an account's record; a lost answer is read back."""
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
