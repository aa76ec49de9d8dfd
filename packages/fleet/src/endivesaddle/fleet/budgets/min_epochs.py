"""The lowest epochs that may still start runs, in one small key for each shard.

A sidecar that starts anew knows of no seal.  It reads these keys before its first
run: a holder writes one before it seals, and frees tokens only after, so a sidecar
either was sealed itself or reads the floor.  One key for all shards would be
written by all takeovers of a lost router at once, and each write but one lost.
"""

import msgspec

from endivesaddle.fleet.budgets.errors import BadRecord, RecordWriteUnconfirmed
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Store, Stored
from endivesaddle.fleet.sentinels import Absent, Conflict

PREFIX = 'budget-floors/'
_decoder = msgspec.json.Decoder(dict[str, int])


async def read_min_epochs(store: Store, deadline_unix_s: float) -> dict[tuple[int, str], int]:
    """Return the lowest epoch by shard and data centre.

    Raises ``StoreUnreachable``, or ``BadRecord`` for a key that can't be read.
    """
    min_epochs: dict[tuple[int, str], int] = {}
    for stored in await store.list(PREFIX, deadline_unix_s):
        shard = int(stored.key.removeprefix(PREFIX))
        min_epochs.update(
            ((shard, data_centre), epoch) for data_centre, epoch in _decode(stored).items()
        )
    return min_epochs


async def raise_min_epoch(
    store: Store, clock: Clock, place: tuple[int, str], epoch: int, deadline_unix_s: float
) -> None:
    """Raise the floor of a shard in a data centre; never lowers one.

    Returns when it is certain to be in the store; raises ``StoreUnreachable`` or
    ``RecordWriteUnconfirmed``.
    """
    shard, data_centre = place
    key = f'{PREFIX}{shard}'
    while clock.now_s() < deadline_unix_s:
        stored = await store.read(key, deadline_unix_s)
        min_epochs = {} if isinstance(stored, Absent) else _decode(stored)
        if min_epochs.get(data_centre, 0) >= epoch:
            return
        raw = msgspec.json.encode({**min_epochs, data_centre: epoch})
        version = 0 if isinstance(stored, Absent) else stored.version
        try:
            written = await store.swap(key, raw, version, deadline_unix_s)
        except StoreWriteUnconfirmed:
            # It may have been written: the next look tells.
            continue
        if not isinstance(written, Conflict):
            return
    raise RecordWriteUnconfirmed(f'the floor of shard {shard} was not raised in time')


def _decode(stored: Stored) -> dict[str, int]:
    try:
        return _decoder.decode(stored.value or b'{}')
    except msgspec.DecodeError as error:
        raise BadRecord(f'the floor {stored.key} is broken: {error}') from error
