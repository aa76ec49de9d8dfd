"""Seal passed epochs at all routers and sidecars, and learn what ran under them."""

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

_AT_ONCE = 64
"""Seals under way at once: 1,200 instances shall not be asked in one burst."""
_LONGEST_PAUSE_S = 30.0
_NEVER = sys.maxsize
"""A batch that never comes: of no batch is it known what ran."""


class Reply(NamedTuple):
    """The answer of one instance to a seal."""

    member: members_pb2.Member
    seal: holders_pb2.SealReply


class Round(NamedTuple):
    """One round of seals: who answered, and whether that was everyone in view."""

    everyone: bool
    routers: Sequence[Reply]
    sidecars: Sequence[Reply]

    def fleet(self, servers: Sequence[str]) -> str:
        """Return the fingerprint of the sidecars that answered."""
        known = [
            (reply.member.server, reply.seal.instance, reply.seal.incarnation)
            for reply in self.sidecars
        ]
        return sidecars.fingerprint_of(known, servers)

    def held(self) -> set[HolderEpoch]:
        """Return the holders that answered, with what they remember."""
        return {
            HolderEpoch(record.data_centre, record.epoch)
            for reply in self.routers
            for record in reply.seal.records
            if record.state == epoch_usage.HELD
        }


class Recovery:
    """Learns what ran under the epochs before the one that a shard is held under."""

    def __init__(
        self,
        settings: BudgetSettings,
        identity: Identity,
        store: Store,
        peers: Peers,
        view: FleetView,
        clock: Clock,
    ) -> None:
        """Seal through ``peers`` whom ``view`` knows, and this instance itself."""
        self._settings = settings
        self._identity = identity
        self._store = store
        self._peers = peers
        self._view = view
        self._clock = clock
        self.claim_recovery: ClaimRecovery | None = None

    async def run(self, held: HeldShard) -> None:
        """Seal again and again until all is known, or the shard is held no more."""
        began_unix_s = self._clock.now_s()
        pause_s = self._settings.seal_retry_s
        while not held.stop_reason and held.past_epochs:
            if await self._raise_min_epoch(held):
                await self._round(held)
            if began_unix_s + self._settings.records_kept_s < self._clock.now_s():
                # Whoever could ask about such an old request has been answered long ago.
                held.recovered = True
            held.request_write()
            await anyio.sleep(pause_s)
            pause_s = min(_LONGEST_PAUSE_S, pause_s * 2)

    async def _raise_min_epoch(self, held: HeldShard) -> bool:
        deadline_unix_s = self._clock.now_s() + self._settings.store_timeout_s
        place = (held.shard, held.data_centre)
        try:
            await min_epochs.raise_min_epoch(
                self._store, self._clock, place, held.epoch, deadline_unix_s
            )
        except (StoreUnreachable, RecordWriteUnconfirmed, BadRecord) as error:
            events.STORE_FAILED.log(shard=held.shard, reason=str(error))
            return False
        return True

    async def _round(self, held: HeldShard) -> None:
        answers = await self._ask_all(held)
        for epoch, usage in held.past_epochs.items():
            self._learn(held, epoch, usage, answers)
        complete = all(known.complete for known in held.past_epochs.values())
        if self.claim_recovery is not None and not held.recovered:
            known = [
                record
                for reply in [*answers.routers, *answers.sidecars]
                for record in reply.seal.records
                if record.state not in epoch_usage.OWN_STATES
            ]
            self.claim_recovery.adopt(held.shard, known, complete)
        held.recovered = held.recovered or complete

    def _learn(
        self, held: HeldShard, epoch: int, usage: epoch_usage.EpochUsage, answers: Round
    ) -> None:
        past = held.saved.record['sealed'].get(records.sealed_key(held.data_centre, epoch))
        if past is None:
            usage.complete = True
            return
        known_batch = self._known_batch(past, answers)
        usage.learn(_about(usage, answers.routers), _about(usage, answers.sidecars), known_batch)
        held_there = answers.held()
        others = {HolderEpoch(name, number) for name, number in past['others'].items()}
        if usage.holder_epoch in held_there:
            self._prove(held, usage, 0)
        elif known_batch < _NEVER and others <= held_there:
            self._prove(held, usage, known_batch)
        elif answers.everyone:
            events.STRANDED.log(shard=held.shard, epoch=epoch)

    def _prove(self, held: HeldShard, usage: epoch_usage.EpochUsage, first_batch: int) -> None:
        if not usage.complete:
            events.SEALED.log(shard=held.shard, epoch=usage.holder_epoch.epoch)
            usage.first_batch = first_batch
        usage.first_batch = min(usage.first_batch, first_batch)
        usage.complete = True

    def _known_batch(self, past: records.Holder, answers: Round) -> int:
        fleet = answers.fleet(list(self._view.configuration.servers))
        if not fleet or fleet != past['fleet']:
            return _NEVER
        # Sidecars forget what ended longer ago.
        oldest = int(self._clock.now_s() - self._settings.records_kept_s)
        return max(past['fleet_batch'], oldest)

    async def _ask_all(self, held: HeldShard) -> Round:
        message = holders_pb2.SealRequest(
            shard=held.shard, data_centre=held.data_centre, below_epoch=held.epoch
        )
        limit = anyio.CapacityLimiter(_AT_ONCE)
        routers: list[Reply] = []
        beside: list[Reply] = []
        async with anyio.create_task_group() as tasks:
            for router in self._routers(held):
                tasks.start_soon(self._ask, limit, router, rpcs.SEAL_CLAIMS, message, routers)
            for sidecar in self._view.members('sidecar'):
                tasks.start_soon(self._ask, limit, sidecar, rpcs.SEAL_RUNS, message, beside)
        return Round(self._everyone([*routers, *beside]), routers, beside)

    def _everyone(self, replies: list[Reply]) -> bool:
        answered = {reply.member.instance for reply in replies}
        in_view = [*self._view.members('router'), *self._view.members('sidecar')]
        return all(member.instance in answered for member in in_view)

    def _routers(self, held: HeldShard) -> list[members_pb2.Member]:
        # Past holders know best, also one that is out of view, or this instance itself.
        own = self._identity
        known = {member.instance: member for member in self._view.members('router')}
        itself = members_pb2.Member(instance=own.instance, role=own.role, address=own.address)
        known.setdefault(own.instance, itself)
        for name, past in held.saved.record['sealed'].items():
            if name.partition('/')[0] == held.data_centre:
                member = members_pb2.Member(instance=past['instance'], address=past['address'])
                known.setdefault(past['instance'], member)
        return list(known.values())

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


def _about(usage: epoch_usage.EpochUsage, replies: Sequence[Reply]) -> list[holders_pb2.Record]:
    return [
        record
        for reply in replies
        for record in reply.seal.records
        if record.state == epoch_usage.TRANSFERRED
        or epoch_usage.holder_epoch_of(record) == usage.holder_epoch
    ]
