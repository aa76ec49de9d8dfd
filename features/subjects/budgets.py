"""Subject: the budgets of a small fleet; all queued actions run in one virtual-time loop."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from loguru import logger

from endivesaddle.fleet.budgets import record_format, records, top_ups
from endivesaddle.fleet.budgets.records_store import RecordStore
from endivesaddle.fleet.configuration import shard_of
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.budget_fleet import BudgetFleet, FleetRouter
from endivesaddle.stand_ins.budget_front import BudgetFront, Outcome
from endivesaddle.stand_ins.budget_sidecars import Work
from subjects.budget_orders import ACCOUNT, SETTINGS

SHARD = shard_of(ACCOUNT)
Action = Callable[['Budgets'], Awaitable[None]]


class Budgets:
    """Queue actions, run them in virtual time, and keep the results."""

    def __init__(self, data_centres: tuple[str, ...] = ('porto-a', 'porto-b')) -> None:
        """Initialize for a fleet with two routers and two sidecars in each data centre."""
        self.data_centres = data_centres
        self.actions: list[Action] = []
        self.outcomes: dict[str, Outcome] = {}
        self.sent_unix_s: dict[str, float] = {}
        self.operator: list[Any] = []
        self.events: list[int] = []
        self.notes: dict[str, Any] = {}
        self.overspent = 0
        self._has_run = False

    @property
    def key(self) -> str:
        """The store key of the shard."""
        return records.key_of(SHARD)

    def then(self, action: Action) -> None:
        """Queue an action after all previous ones."""
        self.actions.append(action)

    def play(self) -> 'Budgets':
        """Run all queued actions, the first time that this is called."""
        if not self._has_run:
            self._has_run = True
            sink = logger.add(self._note_event, level='DEBUG')
            virtual.run(self._run_actions)
            logger.remove(sink)
        return self

    @property
    def budget(self) -> records.Budget:
        """The account's budget in the store after the last action."""
        return record_format.decode(self.notes['raw'])['budgets'][ACCOUNT]

    def now_s(self) -> float:
        """Return the virtual time."""
        return self.fleet.clock.now_s()

    def holder(self, data_centre: str) -> FleetRouter:
        """Return the router to which the account's shard is assigned."""
        return self.fleet.holder(ACCOUNT, data_centre)

    def other(self, data_centre: str) -> FleetRouter:
        """Return a router that doesn't hold the shard if there is one, else the holder."""
        held_by = self.holder(data_centre).identity.instance
        others = [
            router
            for name, router in self.fleet.routers.items()
            if name != held_by and router.identity.data_centre == data_centre
        ]
        return others[0] if others else self.holder(data_centre)

    def send(self, name: str, data_centre: str, bound: int, used: int, run_s: float) -> None:
        """Send a request through a router that isn't the holder, without waiting for it."""
        self.sent_unix_s[name] = self.now_s()
        work = Work(ACCOUNT, f'{ACCOUNT}/{name}', bound, used, run_s, self.now_s() + 5)
        self.fleet.tasks.start_soon(self._serve, name, self.other(data_centre), work)

    async def top_up(self, tokens: int, top_up_id: str) -> None:
        """Top up with a deadline of 1 s."""
        fleet = self.fleet
        self.operator.append(
            await top_ups.top_up(
                fleet.store, fleet.clock, ACCOUNT, tokens, top_up_id, self.now_s() + 1
            )
        )

    async def declare(self, tokens: int) -> None:
        """Declare the base amount with a deadline of 1 s."""
        fleet = self.fleet
        self.operator.append(
            await top_ups.declare(fleet.store, fleet.clock, ACCOUNT, tokens, self.now_s() + 1)
        )

    async def balance(self) -> top_ups.Balance | top_ups.Unknown:
        """Return the stored balance of the account."""
        fleet = self.fleet
        return await top_ups.balance(fleet.store, fleet.clock, ACCOUNT, self.now_s() + 1)

    async def write(self, raw: bytes) -> None:
        """Overwrite the shard's record."""
        store = self.fleet.store
        stored = await store.read(self.key, float('inf'))
        version = getattr(stored, 'version', 0)
        await store.swap(self.key, raw, version, float('inf'))

    async def record(self) -> records.ShardRecord:
        """Return the shard's record."""
        reader = RecordStore(self.fleet.store, self.fleet.clock)
        return (await reader.read(SHARD, float('inf'))).record

    async def _run_actions(self) -> None:
        async with anyio.create_task_group() as tasks:
            self.fleet = BudgetFleet(tasks, SETTINGS, self.data_centres, [ACCOUNT])
            for action in self.actions:
                await action(self)
                self._check_usage()
            stored = await self.fleet.store.read(self.key, float('inf'))
            self.notes['raw'] = stored.value
            self.notes['ran'] = self.fleet.truth.total(ACCOUNT)
            tasks.cancel_scope.cancel()

    async def _serve(self, name: str, router: FleetRouter, work: Work) -> None:
        self.outcomes[name] = await BudgetFront(self.fleet, router).serve(work)

    def _check_usage(self) -> None:
        paid = sum(
            outcome.total_tokens
            for outcome in self.operator[-1:]
            if hasattr(outcome, 'total_tokens')
        )
        self.notes['paid'] = max(self.notes.get('paid', 0), paid)
        self.overspent = max(self.overspent, self.fleet.truth.total(ACCOUNT) - self.notes['paid'])

    def _note_event(self, message: Any) -> None:
        self.events.append(message.record['extra'].get('event', 0))
