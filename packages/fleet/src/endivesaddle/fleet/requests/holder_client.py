"""A router's calls to the holder of an account."""

from collections.abc import Iterator
from typing import Any

import anyio

from endivesaddle.fleet.configuration import rendezvous
from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.requests import refusals, states
from endivesaddle.fleet.requests.calls import Call
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.sentinels import NOT_RUN, RUN_UNKNOWN, Refusal
from endivesaddle.wire import holders_pb2, rpcs

MAX_ADDRESSES = 4
"""Addresses tried for one call, redirects included."""
MAX_ROUNDS = 3
"""How often all holders are tried before a claim is refused."""


class HolderClient:
    """Finds the holder of an account and calls it until it answers."""

    def __init__(self, context: Context) -> None:
        """Initialize for the calls of one router."""
        self._context = context

    async def claim(self, call: Call) -> holders_pb2.ClaimReply | Refusal:
        """Claim a request at a holder, repeating the claim with the same key until answered."""
        for _ in range(MAX_ROUNDS):
            for address in self._holders(call):
                reply = await self._claim_at(call, address)
                if reply is not None:
                    return self._interpret(call, reply)
            if self._context.now_s() >= call.request.deadline_unix_s:
                break
            await anyio.sleep(self._context.settings.retry_pause_s)
        # If the reply to a claim was lost, the claim may have been granted, and a retry of
        # the caller may have attached to it and run it.
        not_run = NOT_RUN if call.first_attempt else RUN_UNKNOWN
        if self._context.now_s() >= call.request.deadline_unix_s:
            return refusals.DEADLINE_PASSED.refuse(not_run)
        return refusals.NO_HOLDER.refuse(not_run)

    async def note(self, call: Call, message: holders_pb2.NoteRequest) -> str:
        """Send a note to the holder of the claim; return why it was rejected, or ''."""
        address = self.settling_address(call.record)
        for _ in range(MAX_ADDRESSES):
            if not address:
                break
            reply = await self._call_or_none(
                address, rpcs.NOTE, message, call.request.deadline_unix_s
            )
            if reply is None:
                # The reply decides how the call goes on, and a note is idempotent: retry once.
                reply = await self._call_or_none(
                    address, rpcs.NOTE, message, call.request.deadline_unix_s
                )
            if reply is None:
                break
            if not reply.holder:
                return '' if reply.accepted else str(reply.reason)
            address = reply.holder
        return states.NO_RECORD

    async def settle(self, message: holders_pb2.SettleRequest) -> holders_pb2.SettleReply | None:
        """Settle at the holder of the claim; return None if no holder answered."""
        address = self._context.budgets.holder_address(message.account, message.data_centre)
        for _ in range(MAX_ADDRESSES):
            if not address:
                return None
            deadline_unix_s = self._context.now_s() + self._context.settings.call_s
            reply = await self._call_or_none(address, rpcs.SETTLE, message, deadline_unix_s)
            if reply is None or not reply.holder:
                return reply
            address = reply.holder
        return None

    def settling_address(self, record: holders_pb2.Record) -> str:
        """Return the address of the holder of a claim."""
        return self._context.budgets.holder_address(record.account, record.data_centre)

    async def copy(self, record: holders_pb2.Record) -> bool:
        """Store a copy of a record on any other router; return whether one accepted it."""
        routers = [member.address for member in self._context.view.members('router')]
        for address in rendezvous(record.request_key, routers)[:MAX_ADDRESSES]:
            if address == self._context.identity.address:
                continue
            deadline_unix_s = self._context.now_s() + self._context.settings.ask_s
            message = holders_pb2.CopyRequest(record=record)
            reply = await self._call_or_none(address, rpcs.COPY, message, deadline_unix_s)
            if reply is not None and reply.kept:
                return True
        return False

    def _holders(self, call: Call) -> Iterator[str]:
        """Yield the addresses to claim at: the holder of this data centre, then the others."""
        own = self._context.identity.data_centre
        regions = self._context.view.configuration.data_centres
        ordered = rendezvous(call.request.key, self._context.other_data_centres())
        ordered.sort(key=lambda name: regions.get(name, '') != regions.get(own, ''))
        for name in [own, *ordered]:
            address = self._context.budgets.holder_address(call.request.account, name)
            if address:
                yield address

    async def _claim_at(self, call: Call, address: str) -> holders_pb2.ClaimReply | None:
        for _ in range(MAX_ADDRESSES):
            reply = await self._claim_once(call, address)
            if reply is None or reply.verdict != states.NOT_HOLDER:
                return reply
            address = reply.holder
            if not address:
                return None
        return None

    async def _claim_once(self, call: Call, address: str) -> holders_pb2.ClaimReply | None:
        """Claim at one holder; return None if it can't be reached.

        A claim may wait there for headroom until the caller's deadline. The holder then
        replies "waiting" after ``claim_wait_s``, so that a silent connection is noticed.
        """
        silent_unix_s = self._context.now_s() + self._context.settings.lost_after_s
        while self._context.now_s() < min(call.request.deadline_unix_s, silent_unix_s):
            deadline_unix_s = self._call_deadline_unix_s(call.request.deadline_unix_s)
            message = self._claim(call)
            try:
                reply = await self._context.peers.call(
                    address, rpcs.CLAIM, message, deadline_unix_s
                )
            except (PeerUnreachable, PeerRefused):
                return None
            except PeerNoReply:
                call.may_be_claimed = True
                continue
            if reply.verdict != states.WAITING:
                return reply
            call.may_be_claimed = True
            silent_unix_s = self._context.now_s() + self._context.settings.lost_after_s
        return None

    def _call_deadline_unix_s(self, deadline_unix_s: float) -> float:
        return min(deadline_unix_s, self._context.now_s() + self._context.settings.call_s)

    def _claim(self, call: Call) -> holders_pb2.ClaimRequest:
        request = call.request
        return holders_pb2.ClaimRequest(
            request_key=request.key,
            account=request.account,
            digest=call.digest,
            bound_tokens=request.bound_tokens,
            may_repeat=request.may_repeat,
            first_attempt=call.first_attempt,
            deadline_unix_s=request.deadline_unix_s,
            router=self._context.identity.address,
            target=call.target,
            revision=self._context.view.configuration.revision,
            priority=request.priority,
            call_id=call.call_id,
        )

    def _interpret(
        self, call: Call, reply: holders_pb2.ClaimReply
    ) -> holders_pb2.ClaimReply | Refusal:
        if reply.verdict == states.REFUSED:
            return refusals.from_reply(reply)
        call.may_be_claimed = True
        return reply

    async def _call_or_none(
        self, address: str, rpc: rpcs.Rpc[Any, Any], message: Any, deadline_unix_s: float
    ) -> Any:
        try:
            return await self._context.peers.call(
                address, rpc, message, self._call_deadline_unix_s(deadline_unix_s)
            )
        except (PeerUnreachable, PeerNoReply, PeerRefused):
            return None
