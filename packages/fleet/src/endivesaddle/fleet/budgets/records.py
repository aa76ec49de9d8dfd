"""The record of one budget shard in the store.

One key holds a whole shard, so that one compare-and-swap moves tokens between data
centres without a transaction over several keys.  Grants and stranded entries are JSON
arrays, empty fields are omitted and the record is compressed: with 20,000 budgets the
store traffic would otherwise use most of the bandwidth that a daemon may use.  A record
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
    """The tokens that the holder in one data centre may spend under its epoch.

    ``settled`` counts the reservations of batches before ``batch`` and no others, so
    that nothing is counted twice when the usage of the later batches is collected.
    """

    ceiling: int
    settled: int
    batch: int


class Stranded(NamedTuple):
    """The grant of a past epoch; it counts as spent until it is released."""

    data_centre: str
    epoch: int
    ceiling: int
    settled: int
    batch: int


class RecordedTransfer(NamedTuple):
    """A direct transfer as recorded by the receiver; 0 tokens means it was not received.

    ``acknowledged`` is set by the donor, which then stops counting the transfer.  The
    receiver removes it afterwards, so that neither can apply it twice after a lost reply.
    """

    tokens: int
    acknowledged: bool


class Holder(TypedDict):
    """The holder of the shard in a data centre; ``epoch`` is the fencing token.

    ``fleet`` is the fingerprint of all sidecars since batch ``fleet_batch``;
    ``others`` are the epochs of other data centres to which it may transfer tokens.
    """

    epoch: int
    address: str
    instance: str
    incarnation: int
    fleet: str
    fleet_batch: int
    others: dict[str, int]


class Budget(TypedDict):
    """The budget of one client account: its top-ups and where the tokens are.

    ``folded_ids`` are 8-byte hashes of old top-up ids, whose tokens are summed in
    ``folded_tokens``.  ``moves`` are direct transfers by id; see ``direct_transfers``.
    """

    top_ups: dict[str, int]
    folded_tokens: int
    folded_ids: bytes
    grants: dict[str, Grant]
    stranded: list[Stranded]
    spent: int
    moves: dict[str, RecordedTransfer]


class ShardRecord(TypedDict):
    """The whole record; ``sealed`` has past holders until all their runs are known."""

    format: int
    holders: dict[str, Holder]
    sealed: dict[str, Holder]
    budgets: dict[str, Budget]


def key_of(shard: int) -> str:
    """Return the store key of a shard."""
    return f'budgets/{shard:0{len(str(SHARD_COUNT))}d}'


def new_record() -> ShardRecord:
    """Return the record of a shard without a holder."""
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
    """Return all tokens ever paid in."""
    return budget['folded_tokens'] + sum(budget['top_ups'].values())


def bound_tokens(budget: Budget) -> int:
    """Return the tokens that are granted, stranded or spent."""
    granted = sum(grant.ceiling for grant in budget['grants'].values())
    stranded = sum(entry.ceiling for entry in budget['stranded'])
    return granted + stranded + budget['spent']


def free_tokens(budget: Budget) -> int:
    """Return the tokens that may still be granted."""
    return total_tokens(budget) - bound_tokens(budget)


def known_spent_tokens(budget: Budget) -> int:
    """Return the tokens known to be spent, in all data centres."""
    granted = sum(grant.settled for grant in budget['grants'].values())
    stranded = sum(entry.settled for entry in budget['stranded'])
    return granted + stranded + budget['spent']


def id_hash(top_up_id: str) -> bytes:
    """Return the hash that is stored for a folded top-up id."""
    return xxhash.xxh3_64_digest(top_up_id.encode())


def has_top_up(budget: Budget, top_up_id: str) -> bool:
    """Return whether a top-up was counted, also if its id has been folded."""
    if top_up_id in budget['top_ups']:
        return True
    wanted = id_hash(top_up_id)
    folded = budget['folded_ids']
    starts = range(0, len(folded), _HASH_BYTES)
    return any(folded[start : start + _HASH_BYTES] == wanted for start in starts)
