"""Subject: a sequence of requests and faults, and the checks that must hold after it."""

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
"""Headroom is returned early, so that it often moves while something fails."""
_BUDGET_TOKENS = 10_000
_DETECT_S = 1.5


class Step(NamedTuple):
    """One step of a sequence: the name of an action and up to three small numbers."""

    action: str
    first: int = 0
    second: int = 0
    third: int = 0


class Verdict(NamedTuple):
    """The tokens overspent and overbilled after a sequence, with details."""

    overspent: int
    overbilled: int
    outcomes: Sequence[Outcome]
    details: str


Action = Callable[['BudgetSequence', Step], Awaitable[None]]
ACTIONS: Registry[Action] = Registry('action')


class BudgetSequence:
    """Run a sequence of steps against a small fleet in virtual time."""

    def __init__(self, steps: Sequence[Step]) -> None:
        """Initialize to run ``steps``."""
        self.steps = steps
        self.outcomes: list[Outcome] = []
        self.accepted = _BUDGET_TOKENS
        self.overspent = 0
        self.found: list[str] = []
        self.sent_top_ups: set[str] = set()
        self.count = 0

    def run(self) -> Verdict:
        """Run all steps, remove all faults, and check the tokens spent and billed."""
        return virtual.run(self._run_steps)

    def check(self) -> None:
        """Compare the usage so far with the tokens paid in and those in use in the store.

        This also finds a sequence that frees tokens which may still be spent, even if
        they are not actually spent twice.
        """
        spent = self.fleet.truth.total(ACCOUNT)
        self.overspent = max(self.overspent, spent - self.accepted)
        stored = self.fleet.store.kept(records.key_of(shard_of(ACCOUNT)))
        record = record_format.decode(stored.value)
        budget = record['budgets'][ACCOUNT]
        uncovered = spent - records.bound_tokens(budget)
        if uncovered > 0:
            self.found.append(f'{uncovered} used tokens exceed {budget}')
        self.overspent = max(self.overspent, uncovered)
        for router in self.fleet.routers.values():
            dump = router.budgets.dump()
            self._check_dump(dump, record)

    async def request(self, router: str, work: Work) -> None:
        """Send one request through a router."""
        entered = self.fleet.routers.get(router)
        if entered is None:
            return
        front = BudgetFront(self.fleet, entered)
        self.outcomes.append(await front.serve(work))

    def _check_dump(self, dump: dict[str, Any], record: records.ShardRecord) -> None:
        # The tokens that a holder may spend by itself must be part of its ceiling in the store.
        shard = dump['shards'].get(shard_of(ACCOUNT), {})
        holder = record['holders'].get(shard.get('data_centre', ''))
        if holder is None or holder['epoch'] != shard['epoch'] or ACCOUNT not in dump['accounts']:
            return
        grants = record['budgets'][ACCOUNT]['grants']
        granted = grants.get(shard['data_centre'], records.Grant(0, 0, 0)).ceiling
        kept = record['budgets'][ACCOUNT]['moves']
        state = dump['accounts'][ACCOUNT]
        taken, given = (
            sum(
                tokens
                for name, tokens in state[side].items()
                if name not in kept and name not in state['seen']
            )
            for side in ('taken', 'given')
        )
        own = state['ceiling_tokens'] - state['folding_tokens'] - taken + given
        if own > granted:
            self.found.append(f'{state} may spend more than {grants}, {kept}')
        self.overspent = max(self.overspent, own - granted)

    async def _run_steps(self) -> Verdict:
        async with anyio.create_task_group() as tasks:
            self.fleet = BudgetFleet(tasks, SEARCHED, DATA_CENTRES, [ACCOUNT])
            self.now_s = self.fleet.clock.now_s
            await top_ups.declare(
                self.fleet.store, self.fleet.clock, ACCOUNT, _BUDGET_TOKENS, self.now_s() + 1
            )
            await anyio.sleep(1)
            for step in self.steps:
                await ACTIONS.find(step.action)(self, step)
                self.check()
            await self._remove_faults()
            verdict = await self._verdict()
            tasks.cancel_scope.cancel()
        return verdict

    async def _remove_faults(self) -> None:
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
            self.check()

    async def _verdict(self) -> Verdict:
        stored = await self.fleet.store.read(records.key_of(shard_of(ACCOUNT)), self.now_s() + 1)
        budget = record_format.decode(stored.value)['budgets'][ACCOUNT]
        billed = records.known_spent_tokens(budget)
        ran = self.fleet.truth.total(ACCOUNT)
        details = f'{budget} used {ran} {self.found[:1]}'
        return Verdict(self.overspent, billed - ran, self.outcomes, details)


@ACTIONS.add('request')
async def send(sequence: BudgetSequence, step: Step) -> None:
    """Send a request: router, bound in hundreds, used tenths of it, run time in 0.3 s."""
    sequence.count += 1
    bound_tokens = 100 * (step.second + 1)
    work = Work(
        ACCOUNT,
        f'{ACCOUNT}/{sequence.count}',
        bound_tokens,
        bound_tokens * (step.third % 11) // 10,
        0.3 * step.third,
        sequence.now_s() + 5,
    )
    router = ROUTERS[step.first % len(ROUTERS)]
    if router in sequence.fleet.routers:
        sequence.fleet.tasks.start_soon(sequence.request, router, work)


@ACTIONS.add('sleep')
async def sleep(sequence: BudgetSequence, step: Step) -> None:
    """Sleep for a number of tenths of a second."""
    await anyio.sleep(step.first / 10)


@ACTIONS.add('kill')
async def kill(sequence: BudgetSequence, step: Step) -> None:
    """Kill a router; the fleet detects it after a delay."""
    name = ROUTERS[step.first % len(ROUTERS)]
    if name in sequence.fleet.routers and len(sequence.fleet.routers) > 1:
        sequence.fleet.kill(name)
        sequence.fleet.tasks.start_soon(_forget, sequence, name)


async def _forget(sequence: BudgetSequence, name: str) -> None:
    await anyio.sleep(_DETECT_S)
    if name not in sequence.fleet.routers:
        sequence.fleet.forget(name)


@ACTIONS.add('restart')
async def restart(sequence: BudgetSequence, step: Step) -> None:
    """Restart a router as a new incarnation."""
    sequence.count += 1
    name = ROUTERS[step.first % len(ROUTERS)]
    sequence.fleet.start_router(name.partition('-router')[0], name, sequence.count + 1)


@ACTIONS.add('restart_sidecar')
async def restart_sidecar(sequence: BudgetSequence, step: Step) -> None:
    """Restart a sidecar: it keeps nothing but the minimum epochs in the store."""
    sequence.count += 1
    before = sequence.fleet.sidecars[SERVERS[step.first % len(SERVERS)]]
    after = sequence.fleet.start_sidecar(before.member.server, sequence.count + 1)
    after.min_epochs.update(before.min_epochs)


@ACTIONS.add('pause')
async def pause(sequence: BudgetSequence, step: Step) -> None:
    """Pause a router; with an odd second number the fleet detects it after a delay."""
    name = ROUTERS[step.first % len(ROUTERS)]
    if name in sequence.fleet.routers and sequence.fleet.routers[name].store.paused is None:
        sequence.fleet.pause(name)
        if step.second % 2:
            sequence.fleet.tasks.start_soon(_forget_paused, sequence, name)


async def _forget_paused(sequence: BudgetSequence, name: str) -> None:
    await anyio.sleep(_DETECT_S)
    router = sequence.fleet.routers.get(name)
    if router is not None and router.store.paused is not None:
        sequence.fleet.forget(name)


@ACTIONS.add('resume')
async def resume(sequence: BudgetSequence, step: Step) -> None:
    """Resume a paused router."""
    name = ROUTERS[step.first % len(ROUTERS)]
    if name in sequence.fleet.routers:
        sequence.fleet.resume(name)


@ACTIONS.add('part')
async def part(sequence: BudgetSequence, step: Step) -> None:
    """Disconnect the two data centres, or let their links lose replies or repeat messages."""
    one, other = (sequence.fleet.addresses(place) for place in DATA_CENTRES)
    faults = (Fault.SILENT, Fault.LOST_REPLY, Fault.DUPLICATE, Fault.CUT)
    sequence.fleet.net.part(one, other, faults[step.first % len(faults)])


@ACTIONS.add('part_holders')
async def part_holders(sequence: BudgetSequence, step: Step) -> None:
    """Make the link between two routers lose replies or repeat messages."""
    faults = (Fault.LOST_REPLY, Fault.DUPLICATE, Fault.SILENT)
    one = {f'{ROUTERS[step.first % len(ROUTERS)]}:1'}
    other = {f'{ROUTERS[step.second % len(ROUTERS)]}:1'}
    sequence.fleet.net.part(one, other, faults[step.third % len(faults)])


@ACTIONS.add('heal')
async def heal(sequence: BudgetSequence, _: Step) -> None:
    """Heal all links."""
    sequence.fleet.net.heal()


@ACTIONS.add('store')
async def store(sequence: BudgetSequence, step: Step) -> None:
    """Make the store unavailable or available again."""
    sequence.fleet.store.fail(bool(step.first % 2))


@ACTIONS.add('lose_answers')
async def lose_answers(sequence: BudgetSequence, step: Step) -> None:
    """Lose the replies to the next writes, which take effect."""
    sequence.fleet.store.lose_answers = step.first % 4


@ACTIONS.add('late_writes')
async def late_writes(sequence: BudgetSequence, step: Step) -> None:
    """Delay a router's writes so that they may arrive after they have timed out."""
    name = ROUTERS[step.first % len(ROUTERS)]
    router = sequence.fleet.routers.get(name)
    if router is not None:
        router.store.late_s = 0.2 * (step.second % 8)


@ACTIONS.add('part_store')
async def part_store(sequence: BudgetSequence, step: Step) -> None:
    """Disconnect a router from the store, or reconnect it."""
    name = ROUTERS[step.first % len(ROUTERS)]
    router = sequence.fleet.routers.get(name)
    if router is not None:
        router.store.parted = bool(step.second % 2)


@ACTIONS.add('top_up')
async def top_up(sequence: BudgetSequence, step: Step) -> None:
    """Top up with an id that may have been used before."""
    tokens = 1000
    sequence.fleet.tasks.start_soon(_top_up, sequence, f'top-up-{step.first % 3}', tokens)


async def _top_up(sequence: BudgetSequence, top_up_id: str, tokens: int) -> None:
    fleet = sequence.fleet
    # A top-up that may be accepted counts from the time it is sent: the fleet may use it
    # before the operator gets the reply.
    if top_up_id not in sequence.sent_top_ups:
        sequence.accepted += tokens
        sequence.sent_top_ups.add(top_up_id)
    await top_ups.top_up(fleet.store, fleet.clock, ACCOUNT, tokens, top_up_id, sequence.now_s() + 1)
