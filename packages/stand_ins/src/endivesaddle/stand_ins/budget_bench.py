"""Play a trace with faults against one variant of the budgets, and measure it."""

from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from endivesaddle.fleet.budgets import top_ups
from endivesaddle.fleet.budgets.settings import BudgetSettings
from endivesaddle.fleet.registry import Registry
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.budget_fleet import BudgetFleet
from endivesaddle.stand_ins.budget_front import BudgetFront
from endivesaddle.stand_ins.budget_sidecars import Work
from endivesaddle.stand_ins.budget_traces import Arrival, TopUp, Trace, work_of
from endivesaddle.wire import rpcs

_ROUTERS = 2
_DETECT_S = 4.0
_AFTER_S = 120.0
_START_S = 2.0
_TRY_S = 5.0
CONTROL = (rpcs.TRANSFER.path, rpcs.SEAL_CLAIMS.path, rpcs.SEAL_RUNS.path)


class Measured(NamedTuple):
    """What one run showed; tokens, requests, and rates by second of the trace."""

    requests: int
    answered: int
    refused: int
    false_refusals: int
    overspent_tokens: int
    store_reads_per_s: float
    store_writes_per_s: float
    control_bytes_per_s: float


Fault = Callable[['Run'], Coroutine[Any, Any, None]]
FAULTS: Registry[Fault] = Registry('budget fault')


class Run:
    """One trace against one variant, with one fault."""

    def __init__(self, trace: Trace, variant: str, fault: str) -> None:
        """Prepare a run."""
        self.trace = trace
        self._variant = variant
        self._fault = fault
        self._paid: dict[str, int] = dict(trace.budgets)
        self._sent: dict[str, int] = dict(trace.budgets)
        self.counts = {'answered': 0, 'refused': 0, 'false': 0, 'overspent': 0}

    def play(self) -> Measured:
        """Play it in virtual time."""
        return virtual.run(self._play)

    def large_holder(self, data_centre: str) -> str:
        """Return the router that holds the first, large account in a data centre."""
        account = next(iter(self.trace.budgets))
        place = data_centre if data_centre in self.fleet.places else self.fleet.places[0]
        return self.fleet.holder(account, place).identity.instance

    async def lose(self, name: str, away_s: float) -> None:
        """Lose a router, and start it anew some time later."""
        router = self.fleet.routers[name]
        self.fleet.kill(name)
        await anyio.sleep(_DETECT_S)
        self.fleet.forget(name)
        await anyio.sleep(away_s)
        self.fleet.start_router(router.identity.data_centre, name, 2)

    async def _play(self) -> Measured:
        async with anyio.create_task_group() as tasks:
            firm = self.trace.firm
            self.fleet = BudgetFleet(
                tasks,
                BudgetSettings(),
                firm.data_centres,
                self.trace.budgets,
                (_ROUTERS, firm.sidecars),
                self._variant,
            )
            for account, tokens in self.trace.budgets.items():
                await self._declare(account, tokens)
            await anyio.sleep(_START_S)
            began = dict(self.fleet.store.calls)
            tasks.start_soon(FAULTS.find(self._fault), self)
            for top_up in self.trace.top_ups:
                tasks.start_soon(self._top_up, top_up)
            await self._enter_all(tasks)
            await anyio.sleep(_AFTER_S)
            measured = self._measured(began)
            tasks.cancel_scope.cancel()
        return measured

    async def _declare(self, account: str, tokens: int) -> None:
        fleet = self.fleet
        deadline_unix_s = fleet.clock.now_s() + _TRY_S
        await top_ups.declare(fleet.store, fleet.clock, account, tokens, deadline_unix_s)

    async def _enter_all(self, tasks: TaskGroup) -> None:
        began_unix_s = self.fleet.clock.now_s()
        for number, arrival in enumerate(self.trace.arrivals):
            wait_s = began_unix_s + arrival.at_s - self.fleet.clock.now_s()
            await anyio.sleep(max(0, wait_s))
            work = work_of(arrival, number, self.fleet.clock.now_s())
            tasks.start_soon(self._serve, arrival, work)

    async def _serve(self, arrival: Arrival, work: Work) -> None:
        # The balancer sends to live routers, wherever they are.
        name = f'{arrival.data_centre}-router-{arrival.router}'
        if name not in self.fleet.routers:
            name = f'{arrival.data_centre}-router-{1 - arrival.router}'
        fitted = self._would_fit(work)
        outcome = await BudgetFront(self.fleet, self.fleet.routers[name]).serve(work)
        self._look(work.account)
        if not outcome.code:
            self.counts['answered'] += 1
            return
        self.counts['refused'] += 1
        if fitted or self._would_fit(work):
            self.counts['false'] += 1

    def _would_fit(self, work: Work) -> bool:
        spent = self.fleet.truth.total(work.account)
        return spent + work.bound_tokens <= self._paid[work.account]

    def _look(self, account: str) -> None:
        over = self.fleet.truth.total(account) - self._sent[account]
        self.counts['overspent'] = max(self.counts['overspent'], over)

    async def _top_up(self, top_up: TopUp) -> None:
        fleet = self.fleet
        await anyio.sleep(top_up.at_s)
        top_up_id = f'{top_up.account}/{top_up.at_s}'
        self._sent[top_up.account] += top_up.tokens
        while True:
            answer = await top_ups.top_up(
                fleet.store,
                fleet.clock,
                top_up.account,
                top_up.tokens,
                top_up_id,
                fleet.clock.now_s() + _TRY_S,
            )
            if isinstance(answer, (top_ups.Accepted, top_ups.AlreadyApplied)):
                self._paid[top_up.account] += top_up.tokens
                return
            await anyio.sleep(_TRY_S)

    def _measured(self, began: dict[str, int]) -> Measured:
        store = self.fleet.store
        length_s = self.trace.length_s
        control_bytes = sum(self.fleet.net.sent_bytes.get(path, 0) for path in CONTROL)
        return Measured(
            len(self.trace.arrivals),
            self.counts['answered'],
            self.counts['refused'],
            self.counts['false'],
            self.counts['overspent'],
            round((store.calls['read'] - began['read']) / length_s, 2),
            round((store.calls['swap'] - began['swap']) / length_s, 2),
            round(control_bytes / length_s, 1),
        )


@FAULTS.add('none')
async def no_fault(_: Run) -> None:
    """Let nothing fail."""


@FAULTS.add('holder lost')
async def lose_holder(run: Run) -> None:
    """Lose the holder of the largest account at a third, for two minutes."""
    await anyio.sleep(run.trace.length_s / 3)
    await run.lose(run.large_holder(run.trace.firm.data_centres[0]), 120)


@FAULTS.add('parted')
async def part(run: Run) -> None:
    """Part one data centre from the others and the store, for a third of the time."""
    await anyio.sleep(run.trace.length_s / 3)
    fleet = run.fleet
    alone, *others = (fleet.addresses(place) for place in run.trace.firm.data_centres)
    fleet.net.part(alone, set.union(*others))
    for router in fleet.routers.values():
        router.store.parted = router.identity.address in alone
    await anyio.sleep(run.trace.length_s / 3)
    fleet.net.heal()
    for router in fleet.routers.values():
        router.store.parted = False


@FAULTS.add('store down')
async def store_down(run: Run) -> None:
    """Take the store down for ten minutes."""
    await anyio.sleep(run.trace.length_s / 3)
    run.fleet.store.fail(True)
    await anyio.sleep(600)
    run.fleet.store.fail(False)


@FAULTS.add('store down, holder lost')
async def both(run: Run) -> None:
    """Lose a holder two minutes into ten minutes without the store."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(store_down, run)
        await anyio.sleep(run.trace.length_s / 3 + 120)
        await run.lose(run.large_holder(run.trace.firm.data_centres[0]), 120)
