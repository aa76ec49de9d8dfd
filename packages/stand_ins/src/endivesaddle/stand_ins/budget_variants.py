"""The budgets as they are, without some parts, and the baselines they are compared with."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Protocol

import anyio

from endivesaddle.fleet.budgets import records
from endivesaddle.fleet.budgets.errors import BadRecord
from endivesaddle.fleet.budgets.holder import BudgetHolder
from endivesaddle.fleet.budgets.ledger import Ledger
from endivesaddle.fleet.budgets.records_store import RecordStore
from endivesaddle.fleet.budgets.settings import BudgetSettings
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import shard_of
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import Budgets, Reserved
from endivesaddle.fleet.ports import FleetView, Handlers, Peers, Store
from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.sentinels import NOT_RUN, NotHolder, Refusal
from endivesaddle.wire import holders_pb2, members_pb2, runs_pb2

EVERYWHERE = 'everywhere'
OWN = 'own'
_READ_S = 1.0


class RouterBudgets(Budgets, Protocol):
    """What a router of the fake fleet needs of its budgets."""

    async def run(self) -> None:
        """Run until cancelled."""

    def handlers(self, handlers: Handlers) -> None:
        """Answer the calls of others."""

    async def seal(self, message: holders_pb2.SealRequest) -> Sequence[holders_pb2.Record]:
        """Seal passed epochs."""

    def dump(self) -> dict[str, Any]:
        """Return the state."""


class Links(NamedTuple):
    """What the budgets of one router are built from."""

    settings: BudgetSettings
    identity: Identity
    store: Store
    peers: Peers
    view: FleetView
    clock: Clock
    shards: set[int]


class Variant(NamedTuple):
    """A way to keep budgets; ``places`` are asked in place of the data centres."""

    build: Callable[[Links], RouterBudgets]
    places: tuple[str, ...] = ()


VARIANTS: Registry[Variant] = Registry('budget variant')


def _holder(links: Links) -> BudgetHolder:
    holder = BudgetHolder(
        links.settings, links.identity, links.store, links.peers, links.view, links.clock
    )
    holder.assignment.shards = links.shards
    return holder


def _without(links: Links, **changes: Any) -> BudgetHolder:
    return _holder(links._replace(settings=dataclasses.replace(links.settings, **changes)))


VARIANTS.add('this design')(Variant(_holder))
VARIANTS.add('without transfers')(Variant(lambda links: _without(links, transfers=False)))
VARIANTS.add('without waiting')(Variant(lambda links: _without(links, waiting=False)))


class OnePlaceView:
    """A view in which all routers are in one place, so that one of them owns a shard."""

    def __init__(self, view: FleetView) -> None:
        """Change what ``view`` shows."""
        self._view = view

    def __getattr__(self, name: str) -> Any:
        """Leave all else as it is."""
        return getattr(self._view, name)

    def members(self, role: str, data_centre: str = '') -> Sequence[members_pb2.Member]:
        """Return routers as members of the one place."""
        if role != 'router':
            return self._view.members(role, data_centre)
        moved = []
        for member in self._view.members(role):
            copy = members_pb2.Member()
            copy.CopyFrom(member)
            copy.data_centre = EVERYWHERE
            moved.append(copy)
        return moved if data_centre in {'', EVERYWHERE} else []

    def loads(self) -> dict[str, runs_pb2.Load]:
        """Return no loads."""
        return {}


def _one_owner(links: Links) -> BudgetHolder:
    identity = links.identity._replace(data_centre=EVERYWHERE)
    return _holder(links._replace(identity=identity, view=OnePlaceView(links.view)))


VARIANTS.add('one global owner')(Variant(_one_owner, (EVERYWHERE,)))


class Slices:
    """An equal slice of each budget for each router, and nothing else."""

    def __init__(self, links: Links) -> None:
        """Start with nothing; ``run`` reads what was paid in."""
        self._links = links
        self._records = RecordStore(links.store, links.clock)
        self._ledgers: dict[str, Ledger] = {}
        self._routers = max(1, len(links.view.members('router')))

    async def run(self) -> None:
        """Read every second what was paid in."""
        while True:
            self._routers = max(self._routers, len(self._links.view.members('router')))
            for shard in self._links.shards:
                await self._read(shard)
            await anyio.sleep(_READ_S)

    def handlers(self, handlers: Handlers) -> None:
        """Answer nothing."""

    async def seal(self, message: holders_pb2.SealRequest) -> Sequence[holders_pb2.Record]:
        """Know of no epochs."""
        return []

    def dump(self) -> dict[str, Any]:
        """Return nothing."""
        return {}

    async def reserve(
        self, account: str, request_key: str, bound_tokens: int, deadline_unix_s: float
    ) -> Reserved | Refusal | NotHolder:
        """Reserve within the slice."""
        ledger = self._ledgers.setdefault(account, Ledger())
        if not ledger.reserve(request_key, bound_tokens, 1):
            return Refusal('budget_exhausted', 'the slice is spent', NOT_RUN, 429)
        return self._reserved(account)

    def settle(self, account: str, request_key: str, epoch: int, used_tokens: int) -> int:
        """Settle within the slice."""
        ledger = self._ledgers.setdefault(account, Ledger())
        billed = ledger.settle(request_key, used_tokens, self._links.clock.now_s())
        return billed or 0

    def held(self, account: str) -> Reserved | NotHolder:
        """Hold every account."""
        return self._reserved(account)

    def recovered(self, account: str) -> bool:
        """Know of no other epochs."""
        return True

    def holder_address(self, account: str, data_centre: str) -> str:
        """Hold everything itself."""
        return self._links.identity.address

    def confirmed_unix_s(self, account: str) -> float:
        """Need no store."""
        return self._links.clock.now_s()

    def _reserved(self, account: str) -> Reserved:
        # The place tells the sidecar where to settle.
        return Reserved(shard_of(account), self._links.identity.address, 1, 1)

    async def _read(self, shard: int) -> None:
        try:
            saved = await self._records.read(shard, self._links.clock.now_s() + _READ_S)
        except (StoreUnreachable, BadRecord):
            return
        for account, budget in saved.record['budgets'].items():
            ledger = self._ledgers.setdefault(account, Ledger())
            ledger.granted = records.total_tokens(budget) // self._routers


VARIANTS.add('equal slices')(Variant(Slices, (OWN,)))
