"""Take shards, keep their records written, and let them go when another takes over."""

import anyio

from endivesaddle.fleet.budgets import events, sidecars
from endivesaddle.fleet.budgets.assignment import ShardAssignment
from endivesaddle.fleet.budgets.errors import BadRecord, EpochSuperseded, RecordWriteUnconfirmed
from endivesaddle.fleet.budgets.held import HeldShard
from endivesaddle.fleet.budgets.records_store import RecordStore, Saved
from endivesaddle.fleet.budgets.recovery import Recovery
from endivesaddle.fleet.budgets.reports import other_report, own_report
from endivesaddle.fleet.budgets.settings import BudgetSettings
from endivesaddle.fleet.budgets.shard_update import ShardUpdate
from endivesaddle.fleet.budgets.takeover import Takeover
from endivesaddle.fleet.budgets.takeover_backoff import TakeoverBackoff
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import FleetError, StoreUnreachable
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.ports import FleetView, Store
from endivesaddle.wire import holders_pb2

_STORE_ERRORS = (StoreUnreachable, RecordWriteUnconfirmed)


class ShardManager:
    """The shards of one router; ``held_shards`` has None for one that is being taken."""

    def __init__(
        self,
        settings: BudgetSettings,
        identity: Identity,
        store: Store,
        view: FleetView,
        clock: Clock,
        recovery: Recovery,
        assignment: ShardAssignment,
    ) -> None:
        """Keep nothing yet; ``recovery`` learns of passed epochs."""
        self._responsible = assignment
        self.recovery = recovery
        self._settings = settings
        self._identity = identity
        self._view = view
        self._clock = clock
        self.records = RecordStore(store, clock)
        self.held_shards: dict[int, HeldShard | None] = {}
        self.past_shards: dict[tuple[int, int], HeldShard] = {}
        self._backoff = TakeoverBackoff()
        self._ended_unix_s: dict[tuple[int, int], float] = {}
        self._min_epochs: dict[tuple[int, str], int] = {}

    async def keep(self, shard: int) -> None:
        """Hold one shard until its epoch is passed or its record is bad."""
        held = await self._take(shard)
        if held is not None:
            self.held_shards[shard] = held
            events.TAKEN_OVER.log(shard=shard, epoch=held.epoch)
            await self._hold(held)
            self._end(held)
            await anyio.sleep(self._backoff.lost(shard, self._clock.now_s()))
        self.held_shards.pop(shard)

    def let_all_go(self) -> None:
        """Stop admitting under all epochs had so far: their tasks have ended.

        Where the background task broke off and was started again, a shard without its
        task would admit for ever without writing what it spends.
        """
        for held in list(self.held_shards.values()):
            if held is not None:
                held.stop('the task that kept the shard has ended')
                self._end(held)
        self.held_shards.clear()

    def of_epoch(self, shard: int, epoch: int) -> HeldShard | None:
        """Return a shard as it is or was held here under an epoch."""
        held = self.held_shards.get(shard)
        if held is not None and held.epoch == epoch:
            return held
        return self.past_shards.get((shard, epoch))

    async def write(self, held: HeldShard) -> None:
        """Write what is due for one shard; whoever waits for headroom is told."""
        async with held.lock:
            now_unix_s = self._clock.now_s()
            known = None if self._is_stale(held, now_unix_s) else held.saved
            held.dirty = False
            update = ShardUpdate(held, self._settings, sidecars.fingerprint(self._view), now_unix_s)
            await self._save(held, update, known)
        held.notify_change()

    def seal(self, message: holders_pb2.SealRequest) -> list[holders_pb2.Record]:
        """Stop admitting under sealed epochs; report what this instance knows of them."""
        place = (message.shard, message.data_centre)
        self._min_epochs[place] = max(self.min_epoch(*place), message.below_epoch)
        own = message.data_centre == self._identity.data_centre
        report: list[holders_pb2.Record] = []
        for held in self._ever_held(message.shard):
            if not own:
                report.extend(other_report(held, message.data_centre, message.below_epoch))
            elif held.epoch < message.below_epoch:
                held.stop(f'epoch {held.epoch} was sealed')
                held.request_write()
                report.extend(own_report(held))
        return report

    def forget(self) -> None:
        """Forget passed epochs that no successor is to ask for any more."""
        oldest_unix_s = self._clock.now_s() - self._settings.records_kept_s
        for place, ended_unix_s in list(self._ended_unix_s.items()):
            if ended_unix_s < oldest_unix_s:
                self.past_shards.pop(place, None)

    def min_epoch(self, shard: int, data_centre: str) -> int:
        """Return the lowest epoch of a data centre that isn't sealed here."""
        return self._min_epochs.get((shard, data_centre), 0)

    def _ever_held(self, shard: int) -> list[HeldShard]:
        held = [known for (kept, _), known in self.past_shards.items() if kept == shard]
        current = self.held_shards.get(shard)
        return held if current is None else [*held, current]

    def _is_stale(self, held: HeldShard, now_unix_s: float) -> bool:
        # An idle shard has nothing to write, and would never find out that the store is
        # back: it went on refusing by a record from before the outage.
        if not held.reachable:
            return True
        # Others write the record too, so a read first is cheaper than a lost swap.
        if any(ledger.queue for ledger in held.ledgers.values()):
            # Whoever waits is refused by a record that was read after it came alone.
            return held.seen_unix_s + self._settings.waiting_look_s <= now_unix_s
        fresh_s = self._settings.fresh_s if held.dirty else self._settings.look_s
        return held.seen_unix_s + fresh_s < now_unix_s

    async def _hold(self, held: HeldShard) -> None:
        self._backoff.taken(held.shard, self._clock.now_s())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.recovery.run, held)
            looked_unix_s = self._clock.now_s()
            while not held.stop_reason:
                looked_unix_s = await self._due(held, looked_unix_s)
                await self.write(held)
            tasks.cancel_scope.cancel()

    def _end(self, held: HeldShard) -> None:
        events.EPOCH_PASSED.log(shard=held.shard, epoch=held.epoch, reason=held.stop_reason)
        place = (held.shard, held.epoch)
        self._ended_unix_s[place] = self._clock.now_s()
        self.past_shards[place] = held
        self.held_shards[held.shard] = None

    async def _save(self, held: HeldShard, update: ShardUpdate, known: Saved | None) -> None:
        began_unix_s = self._clock.now_s()
        deadline_unix_s = began_unix_s + self._settings.store_timeout_s
        try:
            saved = await self.records.update(held.shard, update, deadline_unix_s, known)
        except (EpochSuperseded, BadRecord) as end:
            self._let_go(held, end)
        except StoreUnreachable as unreachable:
            update.cancel()
            self._trouble(held, unreachable)
        except RecordWriteUnconfirmed as unsaved:
            held.write_unconfirmed = True
            self._trouble(held, unsaved)
        else:
            update.confirm(saved.record)
            # Where there was nothing to write the record was not looked at either.
            if saved is not known:
                held.apply_saved(saved, began_unix_s)

    def _let_go(self, held: HeldShard, end: FleetError) -> None:
        if isinstance(end, BadRecord):
            events.BAD_RECORD.log(shard=held.shard, reason=str(end))
        held.stop(str(end))

    def _trouble(self, held: HeldShard, error: FleetError) -> None:
        if held.reachable:
            events.STORE_FAILED.log(shard=held.shard, reason=str(error))
        held.reachable = False

    async def _take(self, shard: int) -> HeldShard | None:
        # With the store out of reach this lasts; the router that was away meanwhile may
        # be back, and the two would take the shard from one another.
        while shard in self._responsible.own_shards():
            try:
                return await self._try_to_take(shard)
            except BadRecord as bad:
                events.BAD_RECORD.log(shard=shard, reason=str(bad))
            except _STORE_ERRORS as error:
                events.STORE_FAILED.log(shard=shard, reason=str(error))
            await anyio.sleep(self._settings.store_timeout_s)
        return None

    async def _try_to_take(self, shard: int) -> HeldShard:
        now_unix_s = self._clock.now_s()
        # Every epoch ever had, also a forgotten one: to take it up again without its
        # ledgers would spend its ceiling a second time.
        past = frozenset(epoch for kept, epoch in self._ended_unix_s if kept == shard)
        fleet = sidecars.fingerprint(self._view)
        takeover = Takeover(self._identity, past, fleet, int(now_unix_s))
        deadline_unix_s = now_unix_s + self._settings.store_timeout_s
        saved = await self.records.update(shard, takeover, deadline_unix_s)
        return HeldShard(shard, self._identity.data_centre, saved, self._clock.now_s())

    async def _due(self, held: HeldShard, looked_unix_s: float) -> float:
        await held.wait_until_due(self._settings.settle_interval_s)
        gap_s = self._settings.write_gap_s if held.reachable else self._settings.store_retry_s
        await anyio.sleep(max(0, looked_unix_s + gap_s - self._clock.now_s()))
        now_unix_s = self._clock.now_s()
        for ledger in held.ledgers.values():
            ledger.measure(max(now_unix_s - looked_unix_s, gap_s))
        return now_unix_s
