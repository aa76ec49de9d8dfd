"""The end of a request at its router: settlement, release, and callers that disconnect."""

import anyio

from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.requests import states
from endivesaddle.fleet.requests.background import BackgroundTasks
from endivesaddle.fleet.requests.calls import Call
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.requests.events import SETTLE_DELAYED, SETTLE_GIVEN_UP
from endivesaddle.fleet.requests.holder_client import HolderClient
from endivesaddle.fleet.requests.steps import StepFactory, append
from endivesaddle.wire import holders_pb2, rpcs, runs_pb2

MAX_UNSETTLED = 4096
"""Settlements that one router retries at a time; the sidecars retry theirs as well."""

CANCEL_PAUSE_MAX_S = 2.0
"""Longest pause before a cancellation that was not answered is repeated."""


class Finisher:
    """Settles the outcome of a call at its holder, or copies it to a router until it can."""

    def __init__(
        self, context: Context, holder_client: HolderClient, background: BackgroundTasks
    ) -> None:
        """Initialize for the calls of one router."""
        self.unsettled = 0
        self._context = context
        self._holder_client = holder_client
        self._background = background
        self._step_factory = StepFactory(context.identity, context.clock)

    async def settle(self, call: Call, outcome: str, used_tokens: int) -> None:
        """Store an outcome on a second instance; the sidecar has it already.

        If the holder can't be reached, another router keeps a copy, and the settlement is
        retried in the background.
        """
        call.steps.append(self._step_factory.step('relayed', call.record.attempt, outcome))
        message = self._message(call, outcome, used_tokens)
        if await self._settle_once(message):
            return
        record = message.record
        kept = await self._holder_client.copy(record)
        SETTLE_DELAYED.log(request_key=record.request_key, copied=kept)
        if self.unsettled < MAX_UNSETTLED:
            self.unsettled += 1
            self._background.start(self._retry_settlement, message)

    async def release(self, call: Call, status: int = 0) -> bool:
        """Release the reservation of a claim under which nothing ran.

        ``status`` is the HTTP status of the caller's refusal, 0 if the caller has
        disconnected. Returns False if the release isn't certain: another call may still run
        the request, or the holder could not be reached.
        """
        message = self._message(call, states.REFUSED, 0)
        message.ClearField('record')
        message.refusal_status = status
        reply = await self._holder_client.settle(message)
        return reply is not None and reply.settled

    async def handle_disconnect(self, call: Call) -> None:
        """Handle a caller that has disconnected: cancel its run unless others may need it.

        A caller that sent its own request id may come back with a retry, so its run is
        cancelled only after ``cancel_after_s``; the sidecar bills what was generated.
        """
        if not call.record.request_key:
            self._name_claim(call)
        if call.record.state == states.CLAIMED:
            await self.release(call)
            return
        if not call.request.named:
            await self._cancel_unnamed(call)
            return
        is_last_call = await self._note_disconnect(call)
        if not (is_last_call and call.request.may_repeat):
            return
        await anyio.sleep(self._context.settings.cancel_after_s)
        is_last_call = await self._note_disconnect(call)
        if is_last_call:
            await self._cancel(call)

    async def _cancel_unnamed(self, call: Call) -> None:
        """Cancel a run at once, also if the holder is silent: no other call can have its id."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._note_disconnect, call)
            if call.request.may_repeat:
                await self._cancel(call)

    def _name_claim(self, call: Call) -> None:
        """Fill in the record of an unanswered claim, which may be pending or granted."""
        call.record.request_key = call.request.key
        call.record.account = call.request.account
        call.record.data_centre = self._context.identity.data_centre
        call.record.state = states.CLAIMED

    async def _note_disconnect(self, call: Call) -> bool:
        step = self._step_factory.step(states.LEFT, call.record.attempt)
        message = holders_pb2.NoteRequest(
            request_key=call.request.key,
            account=call.request.account,
            epoch=call.record.epoch,
            call_id=call.call_id,
            steps=[step],
        )
        return not await self._holder_client.note(call, message)

    async def _cancel(self, call: Call) -> None:
        """Cancel a run; repeat the message until the sidecar has replied or stops it anyway."""
        record = call.record
        message = runs_pb2.CancelRequest(
            request_key=record.request_key,
            attempt=record.attempt,
            reason='the caller went away',
            incarnation=record.sidecar_incarnation,
        )
        pause_s = self._context.settings.retry_pause_s
        while self._context.now_s() < call.request.deadline_unix_s:
            deadline_unix_s = self._context.now_s() + self._context.settings.call_s
            try:
                await self._context.peers.call(
                    record.sidecar, rpcs.CANCEL, message, deadline_unix_s
                )
            except (PeerUnreachable, PeerNoReply, PeerRefused):
                await anyio.sleep(pause_s)
                pause_s = min(2 * pause_s, CANCEL_PAUSE_MAX_S)
            else:
                return

    def _message(self, call: Call, outcome: str, used_tokens: int) -> holders_pb2.SettleRequest:
        record = holders_pb2.Record()
        record.CopyFrom(call.record)
        record.state = states.ENDED
        record.outcome = outcome
        record.used_tokens = used_tokens
        record.ended_unix_s = self._context.now_s()
        append(record, *call.steps)
        return holders_pb2.SettleRequest(
            request_key=record.request_key,
            account=record.account,
            used_tokens=used_tokens,
            outcome=outcome,
            attempt=record.attempt,
            epoch=record.epoch,
            data_centre=record.data_centre,
            steps=call.steps,
            record=record,
            call_id=call.call_id,
        )

    async def _settle_once(self, message: holders_pb2.SettleRequest) -> bool:
        """Settle, sending the full record only to a holder that doesn't have it."""
        short = holders_pb2.SettleRequest()
        short.CopyFrom(message)
        short.ClearField('record')
        reply = await self._holder_client.settle(short)
        if reply is not None and reply.reason == states.NO_RECORD:
            reply = await self._holder_client.settle(message)
        return reply is not None and reply.settled

    async def _retry_settlement(self, message: holders_pb2.SettleRequest) -> None:
        until_unix_s = message.record.deadline_unix_s + self._context.settings.settle_until_s
        try:
            while self._context.now_s() < until_unix_s:
                await anyio.sleep(self._context.settings.settle_retry_s)
                if await self._settle_once(message):
                    return
            SETTLE_GIVEN_UP.log(request_key=message.request_key)
        finally:
            self.unsettled -= 1
