"""The stored format of a shard's record and its validation."""

import zlib
from typing import TypedDict

import msgspec

from endivesaddle.fleet.budgets import records
from endivesaddle.fleet.budgets.errors import BadRecord
from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue, decompress

MAX_BYTES = 900_000
"""Below the store's limit of 1 MB for a value, with room for a takeover."""
_COMPRESSION_LEVEL = 1
_JSON_START = b'{'


class _StoredBudget(TypedDict, total=False):
    top_ups: dict[str, int]
    folded_tokens: int
    folded_ids: bytes
    grants: dict[str, records.Grant]
    stranded: list[records.Stranded]
    spent: int
    moves: dict[str, records.RecordedTransfer]


class _StoredRecord(TypedDict):
    format: int
    holders: dict[str, records.Holder]
    sealed: dict[str, records.Holder]
    budgets: dict[str, _StoredBudget]


class _Version(TypedDict):
    format: int


_decoder: JsonDecoder[_StoredRecord] = JsonDecoder(_StoredRecord)
_version_decoder: JsonDecoder[_Version] = JsonDecoder(_Version)
_encoder = msgspec.json.Encoder()


def decode(raw: bytes) -> records.ShardRecord:
    """Decode and check a record; raises ``BadRecord`` with the cause."""
    try:
        text = raw if raw.startswith(_JSON_START) else decompress(raw)
        version = _version_decoder.decode(text)['format']
    except UnreadableValue as error:
        raise BadRecord(f'not a record: {error}') from error
    if version != records.FORMAT:
        raise BadRecord(f'format {version} is not {records.FORMAT}')
    try:
        stored = _decoder.decode(text)
    except UnreadableValue as error:
        raise BadRecord(f'invalid: {error}') from error
    budgets = {
        name: records.Budget(**{**records.new_budget(), **value})
        for name, value in stored['budgets'].items()
    }
    record = records.ShardRecord(**{**stored, 'budgets': budgets})
    check(record)
    return record


def encode(record: records.ShardRecord) -> bytes:
    """Check and encode a record; raises ``BadRecord`` if it is invalid or too large."""
    check(record)
    non_empty = {
        name: {field: value for field, value in budget.items() if value}
        for name, budget in record['budgets'].items()
    }
    raw = zlib.compress(_encoder.encode({**record, 'budgets': non_empty}), _COMPRESSION_LEVEL)
    if len(raw) > MAX_BYTES:
        raise BadRecord(f'{len(raw)} bytes exceed the maximum of {MAX_BYTES}')
    return raw


def check(record: records.ShardRecord) -> None:
    """Raise ``BadRecord`` if the record violates the invariant.

    A record that grants more than was paid in would overspend without any further
    failure.  An instance that finds one stops and leaves it for an operator to inspect.
    """
    for account, budget in record['budgets'].items():
        if records.free_tokens(budget) < 0:
            raise BadRecord(
                f'{account}: {records.bound_tokens(budget)} exceed {records.total_tokens(budget)}'
            )
        entries: list[records.Grant | records.Stranded] = [
            *budget['grants'].values(),
            *budget['stranded'],
        ]
        if any(not 0 <= entry.settled <= entry.ceiling for entry in entries):
            raise BadRecord(f'{account}: the settled tokens exceed the ceiling or are negative')
        transferred = min((transfer.tokens for transfer in budget['moves'].values()), default=0)
        if budget['spent'] < 0 or transferred < 0 or min(budget['top_ups'].values(), default=0) < 0:
            raise BadRecord(f'{account}: negative tokens')
