"""Fencing numbers for orders to engines: one counter for each backend server."""

from typing import NamedTuple, TypedDict

import msgspec

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue
from endivesaddle.fleet.errors import UserError
from endivesaddle.fleet.ports import Store, Stored
from endivesaddle.fleet.sentinels import Absent, Conflict
from endivesaddle.operators.writes import Write, Writer

FENCES_PREFIX = 'fences/'
_REMEMBERED = 32


class Fence(NamedTuple):
    """A fencing number; ``repeated`` if its order had it before."""

    number: int
    repeated: bool


class _Counter(TypedDict):
    """The last number, and the numbers of the last orders by their ids."""

    last: int
    orders: dict[str, int]


_decoder: JsonDecoder[_Counter] = JsonDecoder(_Counter)


class Fences:
    """Counters in the store; an order that is sent again keeps its number."""

    def __init__(self, store: Store, clock: Clock, retry_s: float) -> None:
        """Count in ``store``."""
        self._store = store
        self._writer = Writer(store, clock, retry_s)

    async def of(self, server: str, order_id: str, deadline_unix_s: float) -> Fence:
        """Return the number of an order, higher than all before for this server.

        With a new number, an old order that is sent again would pass for the newest
        and undo the orders that came after it.
        """
        key = FENCES_PREFIX + server
        while True:
            found = await self._store.read(key, deadline_unix_s)
            counter = _parsed(found)
            known = counter['orders'].get(order_id)
            if known is not None:
                return Fence(known, repeated=True)
            version = found.version if isinstance(found, Stored) else 0
            body = msgspec.json.encode(_counted(counter, order_id))
            stored = await self._writer.put(Write(key, body, version), deadline_unix_s)
            if isinstance(stored, Stored):
                return Fence(counter['last'] + 1, repeated=False)

    async def raise_to(self, server: str, highest: int, deadline_unix_s: float) -> None:
        """Have the next number be above one that a sidecar has seen.

        After the store was restored from an old copy, its counter gives out numbers
        that sidecars have passed: no order would be taken any more.
        """
        key = FENCES_PREFIX + server
        stored: Stored | Conflict = Conflict('not written yet', 0)
        while isinstance(stored, Conflict):
            found = await self._store.read(key, deadline_unix_s)
            counter = _parsed(found)
            if counter['last'] >= highest:
                return
            version = found.version if isinstance(found, Stored) else 0
            body = msgspec.json.encode(_raised(counter, highest))
            stored = await self._writer.put(Write(key, body, version), deadline_unix_s)


def _raised(counter: _Counter, highest: int) -> _Counter:
    return {'last': max(counter['last'], highest), 'orders': counter['orders']}


def _counted(counter: _Counter, order_id: str) -> _Counter:
    number = counter['last'] + 1
    orders = [*counter['orders'].items(), (order_id, number)]
    return {'last': number, 'orders': dict(orders[-_REMEMBERED:])}


def _parsed(found: Stored | Absent) -> _Counter:
    if isinstance(found, Absent) or found.value is None:
        return {'last': 0, 'orders': {}}
    try:
        return _decoder.decode(found.value)
    except UnreadableValue as error:
        raise UserError(f'{found.key} can not be decoded, remove it: {error}') from error
