"""The budgets at the size of the plan: sizes of records, and the load of one shard.

All shards are alike and share nothing, so one is measured and the rest worked out.
"""

import random
import time
from collections.abc import Callable, Iterator
from itertools import count, islice
from typing import NamedTuple, TypeVar

import anyio

from endivesaddle.fleet.budgets import record_format, records, top_ups
from endivesaddle.fleet.budgets.settings import BudgetSettings
from endivesaddle.fleet.configuration import SHARD_COUNT, shard_of
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.budget_bench import CONTROL
from endivesaddle.stand_ins.budget_fleet import BudgetFleet
from endivesaddle.stand_ins.budget_front import BudgetFront
from endivesaddle.stand_ins.budget_sidecars import Work

Made = TypeVar('Made')
BUDGETS = 20_000
DATA_CENTRES = tuple(f'data-centre-{number}' for number in range(7))
REQUESTS_PER_S = 2400
_STEADY = 9100
_TOKENS_PER_REQUEST = 458
_BUDGET_TOKENS = 50_000_000
_BUSIEST_PART = 0.1
_SECOND_PART = 0.2
_WARM_S = 20.0
_STORE_CALLS = ('read', 'swap')


class Size(NamedTuple):
    """The record of one shard with some grants and top-ups for each budget."""

    grants: int
    top_ups: int
    record_bytes: int
    decode_ms: float
    encode_ms: float


class ShardLoad(NamedTuple):
    """What one shard costs, by second; false: refusals, with ample budgets all are."""

    requests_per_s: float
    refused: int
    store_reads_per_s: float
    store_writes_per_s: float
    store_bytes_per_s: float
    control_bytes_per_s: float


def names(shard: int) -> Iterator[str]:
    """Yield account names of one shard."""
    for number in count():
        name = f'client-{number}'
        if shard_of(name) == shard:
            yield name


def size(grants: int, paid: int) -> Size:
    """Measure the record of a shard."""
    record = records.new_record()
    chance = random.Random(1)
    for account in islice(names(0), BUDGETS // SHARD_COUNT + 1):
        budget = records.new_budget()
        for _ in range(paid):
            budget['top_ups'][f'order-{chance.randrange(10**9)}'] = chance.randrange(10**8, 10**9)
            top_ups.fold(budget)
        for data_centre in DATA_CENTRES[:grants]:
            budget['grants'][data_centre] = _grant(chance)
        record['budgets'][account] = budget
    raw, encode_ms = _timed(lambda: record_format.encode(record))
    _, decode_ms = _timed(lambda: record_format.decode(raw))
    return Size(grants, paid, len(raw), decode_ms, encode_ms)


def _grant(chance: random.Random) -> records.Grant:
    settled = chance.randrange(10**6)
    batch = 1_790_000_000 + chance.randrange(10**3)
    return records.Grant(settled + chance.randrange(10**6), settled, batch)


def _timed(act: Callable[[], Made]) -> tuple[Made, float]:
    began_s = time.perf_counter()
    made = act()
    return made, round((time.perf_counter() - began_s) * 1000, 2)


class ShardRun:
    """One shard of 313 budgets in seven data centres, at the plan's rate."""

    def __init__(self, length_s: float, seed: int) -> None:
        """Prepare for some seconds."""
        self._length_s = length_s
        self._chance = random.Random(seed)
        self._accounts = list(islice(names(0), BUDGETS // SHARD_COUNT + 1))
        self._steady = self._accounts[: _STEADY // SHARD_COUNT]
        self._refused = 0
        self._sent = 0

    def play(self) -> ShardLoad:
        """Play it in virtual time."""
        return virtual.run(self._play)

    async def _play(self) -> ShardLoad:
        async with anyio.create_task_group() as tasks:
            fleet = BudgetFleet(tasks, BudgetSettings(), DATA_CENTRES, self._accounts, (1, 2))
            for account in self._accounts:
                deadline_unix_s = fleet.clock.now_s() + 5
                await top_ups.declare(
                    fleet.store, fleet.clock, account, _BUDGET_TOKENS, deadline_unix_s
                )
            await self._enter(fleet, _WARM_S)
            before = self._counts(fleet)
            self._sent = 0
            await self._enter(fleet, self._length_s)
            after = self._counts(fleet)
            tasks.cancel_scope.cancel()
        rates = [(end - start) / self._length_s for start, end in zip(before, after, strict=True)]
        return ShardLoad(
            self._sent / self._length_s, self._refused, *(round(rate, 2) for rate in rates)
        )

    async def _enter(self, fleet: BudgetFleet, length_s: float) -> None:
        ends_unix_s = fleet.clock.now_s() + length_s
        while fleet.clock.now_s() < ends_unix_s:
            await anyio.sleep(self._chance.expovariate(REQUESTS_PER_S / SHARD_COUNT))
            self._sent += 1
            fleet.tasks.start_soon(self._serve, fleet, *self._choose())

    def _choose(self) -> tuple[str, str]:
        # The busiest budget is drawn on everywhere; the others at home, or next to it.
        chance = self._chance
        if chance.random() < _BUSIEST_PART:
            return self._accounts[0], chance.choice(DATA_CENTRES)
        number = chance.randrange(len(self._steady))
        moved = number + (chance.random() < _SECOND_PART)
        return self._steady[number], DATA_CENTRES[moved % len(DATA_CENTRES)]

    async def _serve(self, fleet: BudgetFleet, account: str, data_centre: str) -> None:
        key = f'{account}/{self._chance.random()}'
        used = int(self._chance.uniform(0.5, 1.5) * _TOKENS_PER_REQUEST)
        deadline_unix_s = fleet.clock.now_s() + 10
        run_s = self._chance.uniform(2, 20)
        work = Work(account, key, 2 * used, used, run_s, deadline_unix_s)
        outcome = await BudgetFront(fleet, fleet.routers[f'{data_centre}-router-0']).serve(work)
        self._refused += bool(outcome.code)

    def _counts(self, fleet: BudgetFleet) -> list[float]:
        dumps = [router.budgets.dump() for router in fleet.routers.values()]
        moved = sum(dump['store_read_bytes'] + dump['store_written_bytes'] for dump in dumps)
        control = sum(fleet.net.sent_bytes.get(path, 0) for path in CONTROL)
        return [*(fleet.store.calls[kind] for kind in _STORE_CALLS), moved, control]
