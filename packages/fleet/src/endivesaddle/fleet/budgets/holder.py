"""The budgets of one router: the shards that it holds and how it acquires them.

Safety doesn't depend on knowing which router holds a shard: every holder spends below a
ceiling that the store has granted to its epoch.  Two simultaneous holders of a shard
reduce the available headroom but can't overspend.
"""

from collections.abc import Sequence
from typing import Any

import anyio
from anyio.abc import TaskGroup

from endivesaddle.fleet.budgets import events
from endivesaddle.fleet.budgets.admission import Admission
from endivesaddle.fleet.budgets.assignment import ShardAssignment
from endivesaddle.fleet.budgets.dumps import describe
from endivesaddle.fleet.budgets.held import HeldShard
from endivesaddle.fleet.budgets.ledger import Waiter
from endivesaddle.fleet.budgets.recovery import Recovery
from endivesaddle.fleet.budgets.settings import BudgetSettings
from endivesaddle.fleet.budgets.shard_manager import ShardManager
from endivesaddle.fleet.budgets.transfers import Transfers
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import shard_of
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import ClaimRecovery, Reserved
from endivesaddle.fleet.ports import FleetView, Handlers, Peers, Store
from endivesaddle.fleet.sentinels import NotHolder, Refusal
from endivesaddle.wire import holders_pb2, rpcs


class BudgetHolder:
    """Implementation of ``Budgets`` in a router, and the ``Sealer`` of its reservations."""

    def __init__(
        self,
        settings: BudgetSettings,
        identity: Identity,
        store: Store,
        peers: Peers,
        view: FleetView,
        clock: Clock,
    ) -> None:
        """Initialize with no shards; ``run`` acquires them."""
        self._identity = identity
        self._clock = clock
        self._settings = settings
        self.assignment = ShardAssignment(identity, view)
        self._recovery = Recovery(settings, identity, store, peers, view, clock)
        self._shard_manager = ShardManager(
            settings, identity, store, view, clock, self._recovery, self.assignment
        )
        self._transfers = Transfers(settings, peers, self._shard_manager, clock)
        self._admission = Admission(settings, self._transfers, clock)

    @property
    def claim_recovery(self) -> ClaimRecovery | None:
        """The claims, which are informed about the runs under past epochs."""
        return self._recovery.claim_recovery

    @claim_recovery.setter
    def claim_recovery(self, claim_recovery: ClaimRecovery | None) -> None:
        self._recovery.claim_recovery = claim_recovery

    def handlers(self, handlers: Handlers) -> None:
        """Register the handler for calls of other holders."""
        handlers.answer(rpcs.TRANSFER, self.transfer)

    async def run(self) -> None:
        """Acquire the shards assigned to this router and hold them until cancelled."""
        self._shard_manager.stop_all()
        async with anyio.create_task_group() as tasks:
            while True:
                self._keep_own(tasks)
                self._shard_manager.drop_old_epochs()
                await anyio.sleep(self._settings.tick_s)

    async def reserve(
        self, account: str, request_key: str, bound_tokens: int, deadline_unix_s: float
    ) -> Reserved | Refusal | NotHolder:
        """Reserve the worst case; wait until the deadline while it may still fit."""
        held = self._held(account)
        if held is None:
            return self._elsewhere(account)
        waiter = Waiter(request_key, bound_tokens, held.ledger(account).number)
        if not self._admission.try_reserve(held, account, waiter):
            refused = await self._admission.wait(held, account, waiter, deadline_unix_s)
            if refused is not None:
                return refused
        reservation = held.ledger(account).open.get(request_key)
        if reservation is None or held.stop_reason:
            return self._elsewhere(account)
        return Reserved(held.shard, held.data_centre, held.epoch, reservation.batch)

    def settle(self, account: str, request_key: str, epoch: int, used_tokens: int) -> int:
        """Settle a request once; return the billed tokens, also on a repeated call."""
        shard = shard_of(account)
        held = self._shard_manager.of_epoch(shard, epoch)
        if held is None:
            return self._settle_late(account, request_key, epoch, used_tokens)
        ledger = held.ledger(account)
        reservation = ledger.open.get(request_key)
        if reservation is not None and used_tokens > reservation.bound_tokens:
            events.OVER_REPORT.log(
                account=account,
                request_key=request_key,
                used_tokens=used_tokens,
                bound_tokens=reservation.bound_tokens,
            )
        billed = ledger.settle(request_key, used_tokens, self._clock.now_s())
        held.dirty = True
        held.notify_change()
        return 0 if billed is None else billed

    def held(self, account: str) -> Reserved | NotHolder:
        """Return the epoch under which this instance holds the account's shard."""
        held = self._held(account)
        if held is None:
            return self._elsewhere(account)
        location = (held.shard, held.data_centre, held.epoch)
        return Reserved(*location, held.batch, held.since_unix_s)

    def recovered(self, account: str) -> bool:
        """Return whether all claims under older epochs of the shard are known on this instance."""
        held = self._held(account)
        return held is not None and held.recovered

    def ready(self) -> bool:
        """Return whether all shards assigned to this router are held and recovered."""
        held = [
            self._shard_manager.held_shards.get(shard) for shard in self.assignment.own_shards()
        ]
        return all(shard and not shard.stop_reason and shard.recovered for shard in held)

    def holder_address(self, account: str, data_centre: str) -> str:
        """Return the address of the account's holder in a data centre, or '' if unknown."""
        return self.assignment.address(shard_of(account), data_centre)

    def confirmed_unix_s(self, account: str) -> float:
        """Return when the store last confirmed that this instance holds the shard."""
        held = self._held(account)
        return 0 if held is None else held.seen_unix_s

    async def transfer(self, message: holders_pb2.TransferRequest) -> holders_pb2.TransferReply:
        """Transfer headroom to the holder in another data centre."""
        return await self._transfers.give(message)

    async def seal(self, message: holders_pb2.SealRequest) -> Sequence[holders_pb2.Record]:
        """Stop admitting under the sealed epochs and return their reservations."""
        return self._shard_manager.seal(message)

    def dump(self) -> dict[str, Any]:
        """Return the state of all shards held by this instance."""
        return describe(self._shard_manager)

    def _held(self, account: str) -> HeldShard | None:
        held = self._shard_manager.held_shards.get(shard_of(account))
        return None if held is None or held.stop_reason else held

    def _settle_late(self, account: str, request_key: str, epoch: int, used_tokens: int) -> int:
        held = self._held(account)
        usage = None if held is None else held.past_epochs.get(epoch)
        if held is None or usage is None:
            # All usage under this epoch has already been counted.
            return used_tokens
        events.LATE_SETTLE.log(account=account, request_key=request_key, epoch=epoch)
        billed = usage.settle(account, request_key, used_tokens)
        held.request_write()
        return used_tokens if billed is None else billed

    def _elsewhere(self, account: str) -> NotHolder:
        address = self.holder_address(account, self._identity.data_centre)
        other = '' if address == self._identity.address else address
        return NotHolder('this router does not hold the shard of the account', other)

    def _keep_own(self, tasks: TaskGroup) -> None:
        for shard in self.assignment.own_shards():
            if shard not in self._shard_manager.held_shards:
                self._shard_manager.held_shards[shard] = None
                tasks.start_soon(self._shard_manager.keep, shard)
