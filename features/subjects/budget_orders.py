"""Subject: an order of requests and faults, and what must hold after it."""

import dataclasses
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

import anyio

from endivesaddle.fleet.budgets import record_format, records, top_ups
from endivesaddle.fleet.budgets.settings import BudgetSettings
from endivesaddle.fleet.configuration import shard_of
from endivesaddle.fleet.registry import Registry
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.budget_fleet import BudgetFleet
from endivesaddle.stand_ins.budget_front import BudgetFront, Outcome
from endivesaddle.stand_ins.budget_sidecars import Work
from endivesaddle.stand_ins.memory_peers import Fault

ACCOUNT = 'ateliers'
DATA_CENTRES = ('porto-a', 'porto-b')
ROUTERS = tuple(f'{place}-router-{number}' for place in DATA_CENTRES for number in range(2))
SERVERS = tuple(f'{place}-server-{number}' for place in DATA_CENTRES for number in range(2))
SETTINGS = BudgetSettings(
    tick_s=0.5,
    settle_interval_s=2,
    least_ahead_tokens=300,
    ahead_s=5,
    idle_s=10,
    look_s=5,
    store_timeout_s=0.5,
    peer_timeout_s=0.25,
    seal_retry_s=1,
)
SEARCHED = dataclasses.replace(SETTINGS, idle_s=2)
"""Headroom is given back soon, so that it often moves while something fails."""
_BUDGET_TOKENS = 10_000
_DETECT_S = 1.5


class Step(NamedTuple):
    """One step of an order: an action by name, and up to three small numbers."""

    action: str
    first: int = 0
    second: int = 0
    third: int = 0


class Verdict(NamedTuple):
    """What is wrong after an order; tokens."""

    overspent: int
    overbilled: int
    outcomes: Sequence[Outcome]
    told: str


Action = Callable[['BudgetOrder', Step], Awaitable[None]]
ACTIONS: Registry[Action] = Registry('action')


class BudgetOrder:
    """Play an order of steps against a small fleet in virtual time."""

    def __init__(self, steps: Sequence[Step]) -> None:
        """Prepare to play ``steps``."""
        self.steps = steps
        self.outcomes: list[Outcome] = []
        self.accepted = _BUDGET_TOKENS
        self.overspent = 0
        self.found: list[str] = []
        self.sent_top_ups: set[str] = set()
        self.count = 0

    def play(self) -> Verdict:
        """Play all steps, heal everything, and look at what was spent and billed."""
        return virtual.run(self._play)

    def look(self) -> None:
        """Compare what runs and ran with what was paid in, and with what the store sets aside.

        An order that frees tokens which may still be spent is found though nobody
        happens to spend them twice.
        """
        spent = self.fleet.truth.total(ACCOUNT)
        self.overspent = max(self.overspent, spent - self.accepted)
        stored = self.fleet.store.kept(records.key_of(shard_of(ACCOUNT)))
        record = record_format.decode(stored.value)
        budget = record['budgets'][ACCOUNT]
        uncovered = spent - records.bound_tokens(budget)
        if uncovered > 0:
            self.found.append(f'{uncovered} ran beyond {budget}')
        self.overspent = max(self.overspent, uncovered)
        for router in self.fleet.routers.values():
            dump = router.budgets.dump()
            self._look_at(dump, record)

    async def request(self, router: str, work: Work) -> None:
        """Send one request through a router's front."""
        entered = self.fleet.routers.get(router)
        if entered is None:
            return
        front = BudgetFront(self.fleet, entered)
        self.outcomes.append(await front.serve(work))

    def _look_at(self, dump: dict[str, Any], record: records.ShardRecord) -> None:
        # What a holder may spend by itself has to be in its own ceiling in the store.
        shard = dump['shards'].get(shard_of(ACCOUNT), {})
        holder = record['holders'].get(shard.get('data_centre', ''))
        if holder is None or holder['epoch'] != shard['epoch'] or ACCOUNT not in dump['accounts']:
            return
        grants = record['budgets'][ACCOUNT]['grants']
        granted = grants.get(shard['data_centre'], records.Grant(0, 0, 0)).ceiling
        kept = record['budgets'][ACCOUNT]['moves']
        told = dump['accounts'][ACCOUNT]
        taken, given = (
            sum(
                tokens
                for name, tokens in told[side].items()
                if name not in kept and name not in told['seen']
            )
            for side in ('taken', 'given')
        )
        own = told['ceiling_tokens'] - told['folding_tokens'] - taken + given
        if own > granted:
            self.found.append(f'{told} may spend more than {grants}, {kept}')
        self.overspent = max(self.overspent, own - granted)

    async def _play(self) -> Verdict:
        async with anyio.create_task_group() as tasks:
            self.fleet = BudgetFleet(tasks, SEARCHED, DATA_CENTRES, [ACCOUNT])
            self.now_s = self.fleet.clock.now_s
            await top_ups.declare(
                self.fleet.store, self.fleet.clock, ACCOUNT, _BUDGET_TOKENS, self.now_s() + 1
            )
            await anyio.sleep(1)
            for step in self.steps:
                await ACTIONS.find(step.action)(self, step)
                self.look()
            await self._heal()
            verdict = await self._judge()
            tasks.cancel_scope.cancel()
        return verdict

    async def _heal(self) -> None:
        self.fleet.store.fail(False)
        self.fleet.store.lose_answers = 0
        self.fleet.net.heal()
        for name in ROUTERS:
            if name not in self.fleet.routers:
                self.fleet.start_router(name.partition('-router')[0], name, 999)
            self.fleet.resume(name)
            self.fleet.routers[name].store.parted = False
            self.fleet.routers[name].store.late_s = 0
        for _ in range(60):
            await anyio.sleep(2)
            self.look()

    async def _judge(self) -> Verdict:
        stored = await self.fleet.store.read(records.key_of(shard_of(ACCOUNT)), self.now_s() + 1)
        budget = record_format.decode(stored.value)['budgets'][ACCOUNT]
        billed = records.known_spent_tokens(budget)
        ran = self.fleet.truth.total(ACCOUNT)
        told = f'{budget} ran {ran} {self.found[:1]}'
        return Verdict(self.overspent, billed - ran, self.outcomes, told)


@ACTIONS.add('request')
async def send(order: BudgetOrder, step: Step) -> None:
    """Send a request: router, bound in hundreds, tenths of it used and seconds of the run."""
    order.count += 1
    bound_tokens = 100 * (step.second + 1)
    work = Work(
        ACCOUNT,
        f'{ACCOUNT}/{order.count}',
        bound_tokens,
        bound_tokens * (step.third % 11) // 10,
        0.3 * step.third,
        order.now_s() + 5,
    )
    router = ROUTERS[step.first % len(ROUTERS)]
    if router in order.fleet.routers:
        order.fleet.tasks.start_soon(order.request, router, work)


@ACTIONS.add('sleep')
async def sleep(order: BudgetOrder, step: Step) -> None:
    """Let tenths of a second pass."""
    await anyio.sleep(step.first / 10)


@ACTIONS.add('kill')
async def kill(order: BudgetOrder, step: Step) -> None:
    """Kill a router; the fleet sees it later."""
    name = ROUTERS[step.first % len(ROUTERS)]
    if name in order.fleet.routers and len(order.fleet.routers) > 1:
        order.fleet.kill(name)
        order.fleet.tasks.start_soon(_forget, order, name)


async def _forget(order: BudgetOrder, name: str) -> None:
    await anyio.sleep(_DETECT_S)
    if name not in order.fleet.routers:
        order.fleet.forget(name)


@ACTIONS.add('restart')
async def restart(order: BudgetOrder, step: Step) -> None:
    """Start a router anew, as another incarnation."""
    order.count += 1
    name = ROUTERS[step.first % len(ROUTERS)]
    order.fleet.start_router(name.partition('-router')[0], name, order.count + 1)


@ACTIONS.add('restart_sidecar')
async def restart_sidecar(order: BudgetOrder, step: Step) -> None:
    """Start a sidecar anew: it remembers nothing but the floors of the store."""
    order.count += 1
    before = order.fleet.sidecars[SERVERS[step.first % len(SERVERS)]]
    after = order.fleet.start_sidecar(before.member.server, order.count + 1)
    after.min_epochs.update(before.min_epochs)


@ACTIONS.add('pause')
async def pause(order: BudgetOrder, step: Step) -> None:
    """Pause a router."""
    name = ROUTERS[step.first % len(ROUTERS)]
    if name in order.fleet.routers and order.fleet.routers[name].store.paused is None:
        order.fleet.pause(name)
        if step.second % 2:
            order.fleet.tasks.start_soon(_forget_paused, order, name)


async def _forget_paused(order: BudgetOrder, name: str) -> None:
    await anyio.sleep(_DETECT_S)
    router = order.fleet.routers.get(name)
    if router is not None and router.store.paused is not None:
        order.fleet.forget(name)


@ACTIONS.add('resume')
async def resume(order: BudgetOrder, step: Step) -> None:
    """Let a paused router go on."""
    name = ROUTERS[step.first % len(ROUTERS)]
    if name in order.fleet.routers:
        order.fleet.resume(name)


@ACTIONS.add('part')
async def part(order: BudgetOrder, step: Step) -> None:
    """Part the two data centres, or make their links lose replies or repeat messages."""
    one, other = (order.fleet.addresses(place) for place in DATA_CENTRES)
    faults = (Fault.SILENT, Fault.LOST_REPLY, Fault.DUPLICATE, Fault.CUT)
    order.fleet.net.part(one, other, faults[step.first % len(faults)])


@ACTIONS.add('part_holders')
async def part_holders(order: BudgetOrder, step: Step) -> None:
    """Make the link between two routers lose replies or repeat messages."""
    faults = (Fault.LOST_REPLY, Fault.DUPLICATE, Fault.SILENT)
    one = {f'{ROUTERS[step.first % len(ROUTERS)]}:1'}
    other = {f'{ROUTERS[step.second % len(ROUTERS)]}:1'}
    order.fleet.net.part(one, other, faults[step.third % len(faults)])


@ACTIONS.add('heal')
async def heal(order: BudgetOrder, _: Step) -> None:
    """Heal all links."""
    order.fleet.net.heal()


@ACTIONS.add('store')
async def store(order: BudgetOrder, step: Step) -> None:
    """Take the store down or bring it back."""
    order.fleet.store.fail(bool(step.first % 2))


@ACTIONS.add('lose_answers')
async def lose_answers(order: BudgetOrder, step: Step) -> None:
    """Lose the answers to the next writes, which take effect."""
    order.fleet.store.lose_answers = step.first % 4


@ACTIONS.add('late_writes')
async def late_writes(order: BudgetOrder, step: Step) -> None:
    """Let a router's writes arrive late, after it has given up on them."""
    name = ROUTERS[step.first % len(ROUTERS)]
    router = order.fleet.routers.get(name)
    if router is not None:
        router.store.late_s = 0.2 * (step.second % 8)


@ACTIONS.add('part_store')
async def part_store(order: BudgetOrder, step: Step) -> None:
    """Part a router from the store, or let it reach it again."""
    name = ROUTERS[step.first % len(ROUTERS)]
    router = order.fleet.routers.get(name)
    if router is not None:
        router.store.parted = bool(step.second % 2)


@ACTIONS.add('top_up')
async def top_up(order: BudgetOrder, step: Step) -> None:
    """Top up under an id that may have been used before."""
    tokens = 1000
    order.fleet.tasks.start_soon(_top_up, order, f'top-up-{step.first % 3}', tokens)


async def _top_up(order: BudgetOrder, top_up_id: str, tokens: int) -> None:
    fleet = order.fleet
    # What may have been accepted counts from the moment it was sent: the fleet may
    # use it before the operator hears of it.
    if top_up_id not in order.sent_top_ups:
        order.accepted += tokens
        order.sent_top_ups.add(top_up_id)
    await top_ups.top_up(fleet.store, fleet.clock, ACCOUNT, tokens, top_up_id, order.now_s() + 1)
