"""The lowest epochs under which runs may still start, one store key for each shard.

A restarted sidecar has lost its seals and reads these keys before its first run.  A
holder writes the key before it seals an epoch, and frees tokens only afterwards, so
each sidecar has either received the seal or reads the minimum epoch.  A single key for
all shards would be written by all takeovers of a failed router at the same time, and all
but one of these writes would conflict.
"""

import msgspec

from endivesaddle.fleet.budgets.errors import BadRecord, RecordWriteUnconfirmed
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue
from endivesaddle.fleet.errors import StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Store, Stored
from endivesaddle.fleet.sentinels import Absent, Conflict

PREFIX = 'budget-floors/'
_decoder: JsonDecoder[dict[str, int]] = JsonDecoder(dict[str, int])


async def read_min_epochs(store: Store, deadline_unix_s: float) -> dict[tuple[int, str], int]:
    """Return the minimum epoch by shard and data centre.

    Raises ``StoreUnreachable``, or ``BadRecord`` for a value that can't be decoded.
    """
    min_epochs: dict[tuple[int, str], int] = {}
    for stored in await store.list(PREFIX, deadline_unix_s):
        shard = int(stored.key.removeprefix(PREFIX))
        min_epochs.update(
            ((shard, data_centre), epoch) for data_centre, epoch in _decode(stored).items()
        )
    return min_epochs


async def raise_min_epoch(
    store: Store, clock: Clock, location: tuple[int, str], epoch: int, deadline_unix_s: float
) -> None:
    """Raise the minimum epoch of a shard in a data centre; never lower it.

    Returns once the value is confirmed in the store; raises ``StoreUnreachable`` or
    ``RecordWriteUnconfirmed``.
    """
    shard, data_centre = location
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
            # It may have been written: the next read shows that.
            continue
        if not isinstance(written, Conflict):
            return
    raise RecordWriteUnconfirmed(f'the minimum epoch of shard {shard} was not raised in time')


def _decode(stored: Stored) -> dict[str, int]:
    try:
        return _decoder.decode(stored.value or b'{}')
    except UnreadableValue as error:
        raise BadRecord(
            f'the minimum epochs at {stored.key} can not be decoded: {error}'
        ) from error
