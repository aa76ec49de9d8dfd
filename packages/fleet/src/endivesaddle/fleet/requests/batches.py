"""Batches of ended records in the format of the store."""

import zlib
from collections.abc import Sequence
from typing import NamedTuple

from endivesaddle.fleet.decoding import UnreadableValue, decode_message, decompress
from endivesaddle.fleet.requests.errors import BrokenBatch
from endivesaddle.wire import holders_pb2

FORMAT = b'\x01'
"""First byte of a batch; readers reject a batch with another one."""
LEVEL = 1
"""Compression level; records are similar, so the fastest level saves almost as much."""


class Filled(NamedTuple):
    """The bytes of a batch, empty if nothing was added, and the records that did not fit."""

    value: bytes
    rest: list[holders_pb2.Record]


def encode(batch: holders_pb2.Batch) -> bytes:
    """Return a batch in the format of the store."""
    return FORMAT + zlib.compress(batch.SerializeToString(), LEVEL)


def decode(stored: bytes) -> holders_pb2.Batch:
    """Return a batch read from the store; raises ``BrokenBatch`` if it can't be decoded."""
    if stored[:1] != FORMAT:
        raise BrokenBatch(f'batch format {stored[:1]!r} is unknown')
    try:
        return decode_message(decompress(stored[1:]), holders_pb2.Batch)
    except UnreadableValue as error:
        raise BrokenBatch(str(error)) from error


def fill(
    batch: holders_pb2.Batch, records: Sequence[holders_pb2.Record], most_bytes: int
) -> Filled:
    """Add as many records as fit in ``most_bytes``; one already in the batch counts as added."""
    known = {record.request_key for record in batch.records}
    fresh = [record for record in records if record.request_key not in known]
    count = len(fresh)
    while count:
        full = holders_pb2.Batch(period=batch.period, records=[*batch.records, *fresh[:count]])
        value = encode(full)
        if len(value) <= most_bytes:
            return Filled(value, fresh[count:])
        count = min(count - 1, count * most_bytes // len(value))
    return Filled(b'', fresh)
