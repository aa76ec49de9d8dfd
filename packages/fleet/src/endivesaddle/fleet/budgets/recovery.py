"""Seal past epochs at all routers and sidecars, and collect the runs under them."""

import sys
from collections.abc import Sequence
from typing import Any, NamedTuple

import anyio

from endivesaddle.fleet.budgets import epoch_usage, events, min_epochs, records, sidecars
from endivesaddle.fleet.budgets.direct_transfers import HolderEpoch
from endivesaddle.fleet.budgets.errors import BadRecord, RecordWriteUnconfirmed
from endivesaddle.fleet.budgets.held import HeldShard
from endivesaddle.fleet.budgets.settings import BudgetSettings
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable, StoreUnreachable
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import ClaimRecovery
from endivesaddle.fleet.ports import FleetView, Peers, Store
from endivesaddle.wire import holders_pb2, members_pb2, rpcs

_MAX_CONCURRENT = 64
"""Concurrent seal calls, so that 1,200 instances aren't called in one burst."""
_MAX_DELAY_S = 30.0
_NO_BATCH = sys.maxsize
"""A batch number that is never reached: the runs of no batch are known."""


class Reply(NamedTuple):
    """The reply of one instance to a seal."""

    member: members_pb2.Member
    seal: holders_pb2.SealReply


class Round(NamedTuple):
    """The replies to one round of seals; ``everyone``: all known instances replied."""

    everyone: bool
    routers: Sequence[Reply]
    sidecars: Sequence[Reply]

    def fleet(self, servers: Sequence[str]) -> str:
        """Return the fingerprint of the sidecars that replied."""
        members = [
            (reply.member.server, reply.seal.instance, reply.seal.incarnation)
            for reply in self.sidecars
        ]
        return sidecars.fingerprint_of(members, servers)

    def held(self) -> set[HolderEpoch]:
        """Return the holder epochs that are still in the memory of a router that replied."""
        return {
            HolderEpoch(record.data_centre, record.epoch)
            for reply in self.routers
            for record in reply.seal.records
            if record.state == epoch_usage.HELD
        }


class Recovery:
    """Collects the runs under the epochs before the current one of a shard."""

    def __init__(
        self,
        settings: BudgetSettings,
        identity: Identity,
        store: Store,
        peers: Peers,
        view: FleetView,
        clock: Clock,
    ) -> None:
        """Initialize; seals go through ``peers`` to the members of ``view`` and this instance."""
        self._settings = settings
        self._identity = identity
        self._store = store
        self._peers = peers
        self._view = view
        self._clock = clock
        self.claim_recovery: ClaimRecovery | None = None

    async def run(self, held: HeldShard) -> None:
        """Repeat rounds of seals until all runs are known or the shard is lost."""
        began_unix_s = self._clock.now_s()
        delay_s = self._settings.seal_retry_s
        while not held.stop_reason and held.past_epochs:
            if await self._raise_min_epoch(held):
                await self._round(held)
            if began_unix_s + self._settings.records_kept_s < self._clock.now_s():
                # Every caller that could ask about so old a request has its reply by now.
                held.recovered = True
            held.request_write()
            await anyio.sleep(delay_s)
            delay_s = min(_MAX_DELAY_S, delay_s * 2)

    async def _raise_min_epoch(self, held: HeldShard) -> bool:
        deadline_unix_s = self._clock.now_s() + self._settings.store_timeout_s
        location = (held.shard, held.data_centre)
        try:
            await min_epochs.raise_min_epoch(
                self._store, self._clock, location, held.epoch, deadline_unix_s
            )
        except (StoreUnreachable, RecordWriteUnconfirmed, BadRecord) as error:
            events.STORE_FAILED.log(shard=held.shard, reason=str(error))
            return False
        return True

    async def _round(self, held: HeldShard) -> None:
        replies = await self._seal_all(held)
        for epoch, usage in held.past_epochs.items():
            self._update_usage(held, epoch, usage, replies)
        complete = all(past.complete for past in held.past_epochs.values())
        if self.claim_recovery is not None and not held.recovered:
            claim_records = [
                record
                for reply in [*replies.routers, *replies.sidecars]
                for record in reply.seal.records
                if record.state not in epoch_usage.OWN_STATES
            ]
            self.claim_recovery.adopt(held.shard, claim_records, complete)
        held.recovered = held.recovered or complete

    def _update_usage(
        self, held: HeldShard, epoch: int, usage: epoch_usage.EpochUsage, replies: Round
    ) -> None:
        past = held.saved.record['sealed'].get(records.sealed_key(held.data_centre, epoch))
        if past is None:
            usage.complete = True
            return
        known_batch = self._known_batch(past, replies)
        usage.merge(
            _relevant_records(usage, replies.routers),
            _relevant_records(usage, replies.sidecars),
            known_batch,
        )
        replied = replies.held()
        others = {HolderEpoch(name, number) for name, number in past['others'].items()}
        if usage.holder_epoch in replied:
            self._mark_complete(held, usage, 0)
        elif known_batch < _NO_BATCH and others <= replied:
            self._mark_complete(held, usage, known_batch)
        elif replies.everyone:
            events.STRANDED.log(shard=held.shard, epoch=epoch)

    def _mark_complete(
        self, held: HeldShard, usage: epoch_usage.EpochUsage, first_batch: int
    ) -> None:
        if not usage.complete:
            events.SEALED.log(shard=held.shard, epoch=usage.holder_epoch.epoch)
            usage.first_batch = first_batch
        usage.first_batch = min(usage.first_batch, first_batch)
        usage.complete = True

    def _known_batch(self, past: records.Holder, replies: Round) -> int:
        fleet = replies.fleet(list(self._view.configuration.servers))
        if not fleet or fleet != past['fleet']:
            return _NO_BATCH
        # Sidecars don't remember runs that ended before this.
        oldest = int(self._clock.now_s() - self._settings.records_kept_s)
        return max(past['fleet_batch'], oldest)

    async def _seal_all(self, held: HeldShard) -> Round:
        message = holders_pb2.SealRequest(
            shard=held.shard, data_centre=held.data_centre, below_epoch=held.epoch
        )
        limit = anyio.CapacityLimiter(_MAX_CONCURRENT)
        router_replies: list[Reply] = []
        sidecar_replies: list[Reply] = []
        async with anyio.create_task_group() as tasks:
            for router in self._routers(held):
                tasks.start_soon(
                    self._ask, limit, router, rpcs.SEAL_CLAIMS, message, router_replies
                )
            for sidecar in self._view.members('sidecar'):
                tasks.start_soon(
                    self._ask, limit, sidecar, rpcs.SEAL_RUNS, message, sidecar_replies
                )
        return Round(
            self._everyone([*router_replies, *sidecar_replies]), router_replies, sidecar_replies
        )

    def _everyone(self, replies: list[Reply]) -> bool:
        replied = {reply.member.instance for reply in replies}
        in_view = [*self._view.members('router'), *self._view.members('sidecar')]
        return all(member.instance in replied for member in in_view)

    def _routers(self, held: HeldShard) -> list[members_pb2.Member]:
        # Past holders know most, so they are asked even if they have left the view.  This
        # instance may be one of them.
        own = self._identity
        members = {member.instance: member for member in self._view.members('router')}
        own_member = members_pb2.Member(instance=own.instance, role=own.role, address=own.address)
        members.setdefault(own.instance, own_member)
        for name, past in held.saved.record['sealed'].items():
            if name.partition('/')[0] == held.data_centre:
                member = members_pb2.Member(instance=past['instance'], address=past['address'])
                members.setdefault(past['instance'], member)
        return list(members.values())

    async def _ask(
        self,
        limit: anyio.CapacityLimiter,
        member: members_pb2.Member,
        rpc: rpcs.Rpc[Any, Any],
        message: holders_pb2.SealRequest,
        replies: list[Reply],
    ) -> None:
        async with limit:
            deadline_unix_s = self._clock.now_s() + self._settings.peer_timeout_s
            try:
                reply = await self._peers.call(member.address, rpc, message, deadline_unix_s)
            except (PeerUnreachable, PeerNoReply, PeerRefused):
                return
        if reply.sealed:
            replies.append(Reply(member, reply))


def _relevant_records(
    usage: epoch_usage.EpochUsage, replies: Sequence[Reply]
) -> list[holders_pb2.Record]:
    return [
        record
        for reply in replies
        for record in reply.seal.records
        if record.state == epoch_usage.TRANSFERRED
        or epoch_usage.holder_epoch_of(record) == usage.holder_epoch
    ]
