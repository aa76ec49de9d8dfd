"""Acquire shards, write their records, and release them when another router takes over."""

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
    """The shards of one router; in ``held_shards`` None means that one is being acquired."""

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
        """Initialize with no shards; ``recovery`` collects the usage of past epochs."""
        self._assignment = assignment
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
        """Hold one shard until its epoch is superseded or its record is unusable."""
        held = await self._acquire(shard)
        if held is not None:
            self.held_shards[shard] = held
            events.TAKEN_OVER.log(shard=shard, epoch=held.epoch)
            await self._hold(held)
            self._end(held)
            await anyio.sleep(self._backoff.lost(shard, self._clock.now_s()))
        self.held_shards.pop(shard)

    def stop_all(self) -> None:
        """Stop admitting under all current epochs because their tasks have ended.

        After the background task has failed and was restarted, a shard without its
        task would admit requests forever without writing their usage to the store.
        """
        for held in list(self.held_shards.values()):
            if held is not None:
                held.stop('the task that held the shard has ended')
                self._end(held)
        self.held_shards.clear()

    def of_epoch(self, shard: int, epoch: int) -> HeldShard | None:
        """Return a shard that this instance holds or held under an epoch, or None."""
        held = self.held_shards.get(shard)
        if held is not None and held.epoch == epoch:
            return held
        return self.past_shards.get((shard, epoch))

    async def write(self, held: HeldShard) -> None:
        """Write the record of one shard and wake the requests that wait for headroom."""
        async with held.lock:
            now_unix_s = self._clock.now_s()
            cached = None if self._is_stale(held, now_unix_s) else held.saved
            held.dirty = False
            update = ShardUpdate(held, self._settings, sidecars.fingerprint(self._view), now_unix_s)
            await self._save(held, update, cached)
        held.notify_change()

    def seal(self, message: holders_pb2.SealRequest) -> list[holders_pb2.Record]:
        """Stop admitting under sealed epochs; return the records known for them."""
        key = (message.shard, message.data_centre)
        self._min_epochs[key] = max(self.min_epoch(*key), message.below_epoch)
        own = message.data_centre == self._identity.data_centre
        report: list[holders_pb2.Record] = []
        for held in self._all_held(message.shard):
            if not own:
                report.extend(other_report(held, message.data_centre, message.below_epoch))
            elif held.epoch < message.below_epoch:
                held.stop(f'epoch {held.epoch} was sealed')
                held.request_write()
                report.extend(own_report(held))
        return report

    def drop_old_epochs(self) -> None:
        """Drop past epochs that no successor can ask about any more."""
        oldest_unix_s = self._clock.now_s() - self._settings.records_kept_s
        for key, ended_unix_s in list(self._ended_unix_s.items()):
            if ended_unix_s < oldest_unix_s:
                self.past_shards.pop(key, None)

    def min_epoch(self, shard: int, data_centre: str) -> int:
        """Return the lowest epoch of a data centre that isn't sealed on this instance."""
        return self._min_epochs.get((shard, data_centre), 0)

    def _all_held(self, shard: int) -> list[HeldShard]:
        held = [past for (number, _), past in self.past_shards.items() if number == shard]
        current = self.held_shards.get(shard)
        return held if current is None else [*held, current]

    def _is_stale(self, held: HeldShard, now_unix_s: float) -> bool:
        # An idle shard has nothing to write and would never notice that the store is
        # available again: it kept refusing requests on a record from before the outage.
        if not held.reachable:
            return True
        # Other holders write the record too: reading first is cheaper than a failed swap.
        if any(ledger.queue for ledger in held.ledgers.values()):
            # A waiting request is refused only on a record that was read after its arrival.
            return held.seen_unix_s + self._settings.waiting_look_s <= now_unix_s
        fresh_s = self._settings.fresh_s if held.dirty else self._settings.look_s
        return held.seen_unix_s + fresh_s < now_unix_s

    async def _hold(self, held: HeldShard) -> None:
        self._backoff.acquired(held.shard, self._clock.now_s())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.recovery.run, held)
            last_write_unix_s = self._clock.now_s()
            while not held.stop_reason:
                last_write_unix_s = await self._wait_until_due(held, last_write_unix_s)
                await self.write(held)
            tasks.cancel_scope.cancel()

    def _end(self, held: HeldShard) -> None:
        events.EPOCH_PASSED.log(shard=held.shard, epoch=held.epoch, reason=held.stop_reason)
        key = (held.shard, held.epoch)
        self._ended_unix_s[key] = self._clock.now_s()
        self.past_shards[key] = held
        self.held_shards[held.shard] = None

    async def _save(self, held: HeldShard, update: ShardUpdate, cached: Saved | None) -> None:
        began_unix_s = self._clock.now_s()
        deadline_unix_s = began_unix_s + self._settings.store_timeout_s
        try:
            saved = await self.records.update(held.shard, update, deadline_unix_s, cached)
        except (EpochSuperseded, BadRecord) as error:
            self._stop(held, error)
        except StoreUnreachable as error:
            update.cancel()
            self._note_store_failure(held, error)
        except RecordWriteUnconfirmed as error:
            held.write_unconfirmed = True
            self._note_store_failure(held, error)
        else:
            update.confirm(saved.record)
            # If there was nothing to write, the record was not read either.
            if saved is not cached:
                held.apply_saved(saved, began_unix_s)

    def _stop(self, held: HeldShard, error: FleetError) -> None:
        if isinstance(error, BadRecord):
            events.BAD_RECORD.log(shard=held.shard, reason=str(error))
        held.stop(str(error))

    def _note_store_failure(self, held: HeldShard, error: FleetError) -> None:
        if held.reachable:
            events.STORE_FAILED.log(shard=held.shard, reason=str(error))
        held.reachable = False

    async def _acquire(self, shard: int) -> HeldShard | None:
        # This takes as long as the store is unavailable.  The assigned router may have
        # returned meanwhile, and the two would take the shard from each other.
        while shard in self._assignment.own_shards():
            try:
                return await self._try_to_acquire(shard)
            except BadRecord as error:
                events.BAD_RECORD.log(shard=shard, reason=str(error))
            except _STORE_ERRORS as error:
                events.STORE_FAILED.log(shard=shard, reason=str(error))
            await anyio.sleep(self._settings.store_timeout_s)
        return None

    async def _try_to_acquire(self, shard: int) -> HeldShard:
        now_unix_s = self._clock.now_s()
        # All epochs of this incarnation, also those dropped from memory: resuming one
        # without its ledgers would spend its ceiling a second time.
        past = frozenset(epoch for number, epoch in self._ended_unix_s if number == shard)
        fleet = sidecars.fingerprint(self._view)
        takeover = Takeover(self._identity, past, fleet, int(now_unix_s))
        deadline_unix_s = now_unix_s + self._settings.store_timeout_s
        saved = await self.records.update(shard, takeover, deadline_unix_s)
        return HeldShard(shard, self._identity.data_centre, saved, self._clock.now_s())

    async def _wait_until_due(self, held: HeldShard, last_write_unix_s: float) -> float:
        await held.wait_until_due(self._settings.settle_interval_s)
        gap_s = self._settings.write_gap_s if held.reachable else self._settings.store_retry_s
        await anyio.sleep(max(0, last_write_unix_s + gap_s - self._clock.now_s()))
        now_unix_s = self._clock.now_s()
        for ledger in held.ledgers.values():
            ledger.update_rate(max(now_unix_s - last_write_unix_s, gap_s))
        return now_unix_s
