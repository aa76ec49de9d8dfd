"""Transfer headroom between the holders of a shard.

While the store is available, the donor returns tokens to it and the receiver raises its
ceiling from the store.  Otherwise the donor lowers its own ceiling and replies with the
tokens directly: a lost reply strands them, but never creates any.
"""

import asyncio
from typing import NamedTuple

import anyio

from endivesaddle.fleet.budgets import events
from endivesaddle.fleet.budgets.direct_transfers import HolderEpoch, TransferId, parse_id
from endivesaddle.fleet.budgets.held import HeldShard
from endivesaddle.fleet.budgets.ledger import DirectTransfer, Ledger
from endivesaddle.fleet.budgets.records import Grant
from endivesaddle.fleet.budgets.settings import BudgetSettings
from endivesaddle.fleet.budgets.shard_manager import ShardManager
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import rendezvous, shard_of
from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.ports import Peers
from endivesaddle.wire import holders_pb2, rpcs

_SHARE_DIVISOR = 2
_NO_GRANT = Grant(0, 0, 0)


class Ask(NamedTuple):
    """One request for headroom to the holder in another data centre."""

    transfer_id: str
    donor: HolderEpoch
    address: str
    tokens: int


class Transfers:
    """Requests headroom from other holders, and answers their requests."""

    def __init__(
        self,
        settings: BudgetSettings,
        peers: Peers,
        shard_manager: ShardManager,
        clock: Clock,
    ) -> None:
        """Initialize for the shards held by ``shard_manager``."""
        self._settings = settings
        self._peers = peers
        self._shard_manager = shard_manager
        self._clock = clock
        self._ask_count = 0

    async def ask(self, held: HeldShard, account: str, wanted_tokens: int) -> None:
        """Request headroom from all other holders of a shard that may have some.

        Each one is asked for the full amount: excess tokens are returned later, and a
        request waits for the slowest reply only once.
        """
        ledger = held.ledger(account)
        if ledger.pending.asked_unix_s + self._settings.retry_s > self._clock.now_s():
            return
        ledger.pending.asked_unix_s = self._clock.now_s()
        asks = self._asks(held, account, wanted_tokens)
        async with anyio.create_task_group() as tasks:
            for ask in asks:
                tasks.start_soon(self._ask, held, account, ask)

    async def give(self, message: holders_pb2.TransferRequest) -> holders_pb2.TransferReply:
        """Give headroom to the requesting receiver, if both epochs are current."""
        held = self._shard_manager.held_shards.get(shard_of(message.account))
        if held is None or held.stop_reason:
            return holders_pb2.TransferReply(reason='not the holder')
        parsed_id = _parsed(message)
        if parsed_id is None or parsed_id.donor != held.holder_epoch:
            return holders_pb2.TransferReply(reason='meant for another epoch')
        ledger = held.ledger(message.account)
        if message.direct or not held.reachable:
            return self._give_directly(held, ledger, message, parsed_id)
        return await self._return_to_store(held, ledger, message)

    def _asks(self, held: HeldShard, account: str, wanted_tokens: int) -> list[Ask]:
        asks = []
        grants = held.budget(account)['grants']
        for data_centre, holder in held.saved.record['holders'].items():
            grant = grants.get(data_centre, _NO_GRANT)
            may_have_headroom = grant.ceiling > grant.settled or not held.reachable
            if data_centre != held.data_centre and may_have_headroom:
                donor = HolderEpoch(data_centre, holder['epoch'])
                asks.append(self._build_ask(held, donor, holder['address'], wanted_tokens))
        return asks

    def _build_ask(self, held: HeldShard, donor: HolderEpoch, address: str, tokens: int) -> Ask:
        self._ask_count += 1
        transfer_id = str(TransferId(donor, held.holder_epoch, str(self._ask_count)))
        return Ask(transfer_id, donor, address, tokens)

    async def _ask(self, held: HeldShard, account: str, ask: Ask) -> None:
        direct = not held.reachable
        message = holders_pb2.TransferRequest(
            transfer_id=ask.transfer_id,
            account=account,
            from_data_centre=ask.donor.data_centre,
            to_data_centre=held.data_centre,
            wanted_tokens=ask.tokens,
            to_epoch=held.epoch,
            direct=direct,
        )
        deadline_unix_s = self._clock.now_s() + self._settings.peer_timeout_s
        ledger = held.ledger(account)
        try:
            reply = await self._peers.call(ask.address, rpcs.TRANSFER, message, deadline_unix_s)
        except (PeerUnreachable, PeerRefused):
            return
        except PeerNoReply:
            self._note_unanswered(held, ledger, ask)
        except asyncio.CancelledError:
            self._note_unanswered(held, ledger, ask)
            raise
        else:
            self._apply_reply(held, ledger, ask, reply)

    def _note_unanswered(self, held: HeldShard, ledger: Ledger, ask: Ask) -> None:
        # The donor may have given tokens: record in the store that none were received.
        ledger.pending.unanswered[ask.transfer_id] = DirectTransfer(*ask.donor, ask.tokens)
        held.dirty = True

    def _apply_reply(
        self, held: HeldShard, ledger: Ledger, ask: Ask, reply: holders_pb2.TransferReply
    ) -> None:
        if not reply.given:
            if reply.tokens:
                held.request_reread()
            return
        transfer = DirectTransfer(*ask.donor, reply.tokens)
        sealed = transfer.epoch < self._shard_manager.min_epoch(held.shard, transfer.data_centre)
        held.dirty = True
        if sealed or held.stop_reason:
            # The reply to the seal didn't include these tokens: they must not be used.
            ledger.pending.unanswered[ask.transfer_id] = transfer
            return
        ledger.pending.received[ask.transfer_id] = transfer
        held.notify_change()

    def _give_directly(
        self,
        held: HeldShard,
        ledger: Ledger,
        message: holders_pb2.TransferRequest,
        parsed_id: TransferId,
    ) -> holders_pb2.TransferReply:
        before = ledger.pending.given.get(message.transfer_id)
        if before is not None:
            return _given_reply(held, before.tokens)
        receiver = parsed_id.receiver
        if held.receivers.get(receiver.data_centre) != receiver.epoch:
            return holders_pb2.TransferReply(reason='the store names another receiver')
        tokens = self._spare(held, ledger, message)
        if tokens <= 0:
            return holders_pb2.TransferReply(reason='no headroom')
        ledger.pending.given[message.transfer_id] = DirectTransfer(*receiver, tokens)
        held.dirty = True
        events.GAVE.log(account=message.account, tokens=tokens, to=receiver.data_centre)
        return _given_reply(held, tokens)

    async def _return_to_store(
        self, held: HeldShard, ledger: Ledger, message: holders_pb2.TransferRequest
    ) -> holders_pb2.TransferReply:
        tokens = self._spare(held, ledger, message)
        if tokens <= 0:
            return holders_pb2.TransferReply(reason='no headroom')
        ledger.offered = max(ledger.offered, tokens)
        ledger.pending.gave_unix_s = self._clock.now_s()
        await self._shard_manager.write(held)
        reason = 'given back to the store' if held.reachable else 'the store is not reached'
        return holders_pb2.TransferReply(tokens=tokens, from_epoch=held.epoch, reason=reason)

    def _spare(self, held: HeldShard, ledger: Ledger, message: holders_pb2.TransferRequest) -> int:
        # If requests wait at both holders, a fixed order of the data centres decides which
        # goes first: two large requests could otherwise each hold half of the tokens needed.
        order = rendezvous(message.account, [held.data_centre, message.to_data_centre])
        queued = 0 if order[0] == message.to_data_centre else ledger.queued_tokens
        spare = ledger.headroom - queued
        return min(spare, max(message.wanted_tokens, spare // _SHARE_DIVISOR))


def _parsed(message: holders_pb2.TransferRequest) -> TransferId | None:
    try:
        return parse_id(message.transfer_id)
    except ValueError:
        return None


def _given_reply(held: HeldShard, tokens: int) -> holders_pb2.TransferReply:
    return holders_pb2.TransferReply(given=True, tokens=tokens, from_epoch=held.epoch)
