"""What an engine was ordered to be, kept in the store so that a restart knows it."""

from collections.abc import Iterator
from typing import NamedTuple, TypeVar

import msgspec

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Store, Stored
from endivesaddle.fleet.sentinels import Absent, Conflict
from endivesaddle.wire import runs_pb2

LOAD = 'load'
UNLOAD = 'unload'
ROLE = 'role'
STORE_S = 2.0
"""Deadline of one call to the store."""


class Wanted(msgspec.Struct, frozen=True):
    """The state that all orders up to a fencing number add up to.

    ``models`` tells of each model, adapter or version that was ordered whether
    it should be loaded; what was never ordered is left alone.
    """

    fence: int = 0
    models: dict[str, bool] = {}
    role: str = ''

    def after(self, message: runs_pb2.OrderRequest) -> 'Wanted':
        """Return the state after one more order."""
        if message.kind == ROLE:
            return Wanted(message.fence, self.models, message.argument)
        models = {**self.models, message.argument: message.kind == LOAD}
        return Wanted(message.fence, models, self.role)

    def missing(self, load: runs_pb2.Load) -> Iterator[tuple[str, str]]:
        """Yield the orders (kind, argument) that an engine's report calls for."""
        for model, loaded in self.models.items():
            if loaded is not (model in load.models):
                yield (LOAD if loaded else UNLOAD), model
        if self.role and self.role != load.role:
            yield ROLE, self.role


class Counter(msgspec.Struct, frozen=True):
    """The counter from which operators take fencing numbers; ``last`` was given out last."""

    last: int = 0
    orders: dict[str, int] = {}


_counter_decoder: JsonDecoder[Counter] = JsonDecoder(Counter)
_wanted_decoder: JsonDecoder[Wanted] = JsonDecoder(Wanted)
State = TypeVar('State')


class Kept(NamedTuple):
    """The wanted state as the store has it."""

    wanted: Wanted
    version: int


class OrderStore:
    """The two keys of one server: the highest fencing number and the wanted state."""

    def __init__(self, store: Store, server: str, clock: Clock) -> None:
        """Keep them for ``server``."""
        self._store = store
        self._clock = clock
        self._fence_key = f'fences/{server}'
        self._wanted_key = f'orders/{server}'

    async def raise_fence(self, fence: int) -> int:
        """Raise the number in the store; return what it is afterwards."""
        while True:
            stored = await self._store.read(self._fence_key, self._deadline_unix_s())
            counter, version = Counter(), 0
            if not isinstance(stored, Absent):
                counter = _decode(_counter_decoder, stored)
                version = stored.version
            if counter.last >= fence:
                return counter.last
            raised = msgspec.json.encode(Counter(fence, counter.orders))
            await self._swap(self._fence_key, raised, version)

    async def read_wanted(self) -> Kept:
        """Return the wanted state; nothing is wanted where there is none."""
        stored = await self._store.read(self._wanted_key, self._deadline_unix_s())
        if isinstance(stored, Absent):
            return Kept(Wanted(), 0)
        return Kept(_decode(_wanted_decoder, stored), stored.version)

    async def write_wanted(self, wanted: Wanted, version: int) -> bool:
        """Replace the wanted state; False when another sidecar changed it."""
        body = msgspec.json.encode(wanted)
        if await self._swap(self._wanted_key, body, version):
            return True
        return (await self.read_wanted()).wanted == wanted

    async def _swap(self, key: str, value: bytes, version: int) -> bool:
        try:
            stored = await self._store.swap(key, value, version, self._deadline_unix_s())
        except StoreWriteUnconfirmed:
            # The callers read back: both writes are the same when made twice.
            return False
        return not isinstance(stored, Conflict)

    def _deadline_unix_s(self) -> float:
        return self._clock.now_s() + STORE_S


def _decode(decoder: JsonDecoder[State], stored: Stored) -> State:
    """Return a stored state; one that can't be decoded is left as it is, and no order is taken."""
    try:
        return decoder.decode(stored.value or b'{}')
    except UnreadableValue as error:
        raise StoreUnreachable(f'{stored.key} is unreadable: {error}') from error
