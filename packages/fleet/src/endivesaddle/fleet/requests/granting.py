"""Replies to claims: one decision for each request, however many claims are sent for it."""

import anyio

from endivesaddle.fleet.requests import states
from endivesaddle.fleet.requests.background import BackgroundTasks
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.requests.counting import Counters
from endivesaddle.fleet.requests.deciding import Decider, Pending
from endivesaddle.fleet.requests.refused_claims import refused_record
from endivesaddle.fleet.requests.settling import Settler
from endivesaddle.fleet.requests.steps import StepFactory, append
from endivesaddle.fleet.requests.table import Entry, Table
from endivesaddle.fleet.sentinels import NotHolder
from endivesaddle.wire import holders_pb2


class Granter:
    """Replies to claims; ``pending`` are the undecided ones, by request key."""

    def __init__(
        self,
        context: Context,
        table: Table,
        decider: Decider,
        settler: Settler,
        counters: Counters,
    ) -> None:
        """Reply to claims at one holder."""
        self.pending: dict[str, Pending] = {}
        self._context = context
        self._table = table
        self._decider = decider
        self._settler = settler
        self._counters = counters
        self._background = BackgroundTasks()
        self._step_factory = StepFactory(context.identity, context.clock)

    async def run(self) -> None:
        """Run the background decisions until cancelled."""
        await self._background.run()

    async def claim(self, message: holders_pb2.ClaimRequest) -> holders_pb2.ClaimReply:
        """Grant or refuse a claim, or report that its request is known or still waiting."""
        while True:
            rejection = self._reject_if_not_holder(message)
            if rejection is not None:
                return rejection
            entry = self._table.find(message.request_key)
            if entry is not None and not self._reclaimable(entry):
                return await self._attach(entry, message)
            reply = await self._wait_for(message)
            if reply is not None:
                return reply

    def note_disconnect(self, message: holders_pb2.SettleRequest) -> None:
        """Note that the caller of a pending claim has disconnected."""
        pending = self.pending.get(message.request_key)
        if pending is not None and message.outcome == states.REFUSED:
            pending.disconnected = (
                pending.disconnected or message.call_id == pending.message.call_id
            )

    def _reject_if_not_holder(
        self, message: holders_pb2.ClaimRequest
    ) -> holders_pb2.ClaimReply | None:
        held = self._context.budgets.held(message.account)
        if isinstance(held, NotHolder):
            return holders_pb2.ClaimReply(
                verdict=states.NOT_HOLDER, reason=held.reason, holder=held.holder
            )
        return None

    def _reclaimable(self, entry: Entry) -> bool:
        """Tell whether a claim has not run and never will, so that a new one may replace it."""
        record = entry.record
        if record.state == states.REFUSED:
            return True
        held = self._context.budgets.held(record.account)
        old = not isinstance(held, NotHolder) and record.epoch < held.epoch
        return old and record.state == states.CLAIMED

    async def _attach(
        self, entry: Entry, message: holders_pb2.ClaimRequest
    ) -> holders_pb2.ClaimReply:
        record = entry.record
        if record.digest != message.digest:
            self._counters.add('refused_conflict')
            reply = await self._decider.conflict(message)
            self._remember(message, reply)
            return reply
        granted = message.call_id == entry.owner and record.state == states.CLAIMED
        if entry.open and message.call_id not in entry.calls:
            entry.calls |= {message.call_id}
            append(record, self._step_factory.step('attached', record.attempt, message.router))
            self._counters.add('attached')
        verdict = states.GRANTED if granted else states.KNOWN
        return holders_pb2.ClaimReply(verdict=verdict, record=record)

    async def _wait_for(self, message: holders_pb2.ClaimRequest) -> holders_pb2.ClaimReply | None:
        """Wait for the decision on this claim or on a pending one with the same key.

        Returns None if the table has to be read again.
        """
        pending = self.pending.get(message.request_key)
        joined = pending is not None
        if pending is None:
            pending = self._begin(message)
        with anyio.move_on_after(self._context.settings.claim_wait_s):
            await pending.done.wait()
        if not pending.done.is_set():
            return holders_pb2.ClaimReply(verdict=states.WAITING)
        return pending.reply if not joined or pending.answers(message) else None

    def _begin(self, message: holders_pb2.ClaimRequest) -> Pending:
        pending = Pending(message)
        self.pending[message.request_key] = pending
        self._background.start(self._decide, pending)
        return pending

    async def _decide(self, pending: Pending) -> None:
        # The decision has a task of its own, so that a router whose connection breaks keeps
        # its place in the budget's queue when it sends the claim again.
        try:
            pending.reply = await self._decider.decide(pending)
            self._release_disconnected(pending)
        finally:
            self.pending.pop(pending.message.request_key, None)
            pending.done.set()
        if pending.reply is not None:
            self._counters.add(f'claims_{pending.reply.verdict}')
            self._remember(pending.message, pending.reply)

    def _remember(self, message: holders_pb2.ClaimRequest, reply: holders_pb2.ClaimReply) -> None:
        """Record the refusal of a claim, which leaves no entry in the table."""
        if reply.verdict == states.REFUSED:
            step = self._step_factory.step(states.TOLD, 0, f'{reply.code}: {reply.reason}')
            data_centre = self._context.identity.data_centre
            self._table.refused.add(refused_record(message, reply, step, data_centre))

    def _release_disconnected(self, pending: Pending) -> None:
        """Release a claim at once if its caller disconnected while it was pending."""
        entry = self._table.find(pending.message.request_key)
        if pending.disconnected and entry is not None and entry.calls == {pending.message.call_id}:
            self._settler.close_not_run(entry, 'the caller left')
