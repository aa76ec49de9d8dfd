"""The record of one budget shard in the store.

One key holds a shard: one compare-and-swap then moves tokens between data
centres, and no transaction over keys is needed.  Grants and stranded entries
are arrays in JSON, empty fields are left out and the whole is compressed: at 20,000
budgets the store's traffic would else be most of what a daemon may send.  A record
that an operator repairs by hand may be plain JSON.
The invariant is checked after each read and before each write::

    sum of ceilings + sum of stranded ceilings + spent <= sum of top-ups
"""

from typing import NamedTuple, TypedDict

import xxhash

from endivesaddle.fleet.configuration import SHARD_COUNT

FORMAT = 1
RECENT_TOP_UPS = 16
_HASH_BYTES = 8


class Grant(NamedTuple):
    """What one data centre's holder may spend under its epoch.

    ``settled`` counts the reservations of batches before ``batch`` and no
    other, so that nothing is counted twice when the rest is collected.
    """

    ceiling: int
    settled: int
    batch: int


class Stranded(NamedTuple):
    """A grant of an epoch that was taken over; it counts as spent until released."""

    data_centre: str
    epoch: int
    ceiling: int
    settled: int
    batch: int


class RecordedTransfer(NamedTuple):
    """A direct transfer as the receiver entered it; 0 tokens: it was never received.

    ``acknowledged`` is set by the donor, which then counts it no more; the receiver removes
    it afterwards, so that neither side can apply it twice after a lost answer.
    """

    tokens: int
    acknowledged: bool


class Holder(TypedDict):
    """Who holds the shard in a data centre; ``epoch`` is the fencing token.

    ``fleet`` is the fingerprint of all sidecars since batch ``fleet_batch``;
    ``others`` are the epochs of the other data centres to which it may give.
    """

    epoch: int
    address: str
    instance: str
    incarnation: int
    fleet: str
    fleet_batch: int
    others: dict[str, int]


class Budget(TypedDict):
    """One client account: top-ups by id, and where the tokens are.

    ``folded_ids`` are 8-byte hashes of old top-up ids, whose tokens are summed in
    ``folded_tokens``.  ``moves`` are direct transfers by id; see ``moves``.
    """

    top_ups: dict[str, int]
    folded_tokens: int
    folded_ids: bytes
    grants: dict[str, Grant]
    stranded: list[Stranded]
    spent: int
    moves: dict[str, RecordedTransfer]


class ShardRecord(TypedDict):
    """The whole record; ``sealed`` are past holders, until what ran under them is known."""

    format: int
    holders: dict[str, Holder]
    sealed: dict[str, Holder]
    budgets: dict[str, Budget]


def key_of(shard: int) -> str:
    """Return the store's key of a shard."""
    return f'budgets/{shard:0{len(str(SHARD_COUNT))}d}'


def new_record() -> ShardRecord:
    """Return the record of a shard that nobody holds."""
    return ShardRecord(format=FORMAT, holders={}, sealed={}, budgets={})


def new_budget() -> Budget:
    """Return the budget of an account without a top-up."""
    return Budget(
        top_ups={}, folded_tokens=0, folded_ids=b'', grants={}, stranded=[], spent=0, moves={}
    )


def sealed_key(data_centre: str, epoch: int) -> str:
    """Return the key of a past holder in ``sealed``."""
    return f'{data_centre}/{epoch}'


def total_tokens(budget: Budget) -> int:
    """Return what was ever paid in."""
    return budget['folded_tokens'] + sum(budget['top_ups'].values())


def bound_tokens(budget: Budget) -> int:
    """Return what is granted, stranded or spent: no longer free."""
    granted = sum(grant.ceiling for grant in budget['grants'].values())
    stranded = sum(entry.ceiling for entry in budget['stranded'])
    return granted + stranded + budget['spent']


def free_tokens(budget: Budget) -> int:
    """Return what may still be granted."""
    return total_tokens(budget) - bound_tokens(budget)


def known_spent_tokens(budget: Budget) -> int:
    """Return what is spent for certain, wherever it was."""
    granted = sum(grant.settled for grant in budget['grants'].values())
    stranded = sum(entry.settled for entry in budget['stranded'])
    return granted + stranded + budget['spent']


def id_hash(top_up_id: str) -> bytes:
    """Return the hash under which a folded top-up id is known."""
    return xxhash.xxh3_64_digest(top_up_id.encode())


def has_top_up(budget: Budget, top_up_id: str) -> bool:
    """Tell whether a top-up was counted, also when its id is folded."""
    if top_up_id in budget['top_ups']:
        return True
    wanted = id_hash(top_up_id)
    folded = budget['folded_ids']
    starts = range(0, len(folded), _HASH_BYTES)
    return any(folded[start : start + _HASH_BYTES] == wanted for start in starts)
