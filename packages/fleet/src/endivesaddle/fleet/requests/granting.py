"""Answers to claims: one decision for each request, whoever asks and how often."""

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
    """Answers claims; ``pending`` are those under way, by request key."""

    def __init__(
        self,
        context: Context,
        table: Table,
        decider: Decider,
        settler: Settler,
        counters: Counters,
    ) -> None:
        """Answer for one holder."""
        self.pending: dict[str, Pending] = {}
        self._context = context
        self._table = table
        self._decider = decider
        self._settler = settler
        self._counters = counters
        self._background = BackgroundTasks()
        self._step_factory = StepFactory(context.identity, context.clock)

    async def run(self) -> None:
        """Carry out claims until cancelled."""
        await self._background.run()

    async def claim(self, message: holders_pb2.ClaimRequest) -> holders_pb2.ClaimReply:
        """Grant a request, tell that it is known or waiting, or refuse it."""
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

    def leave(self, message: holders_pb2.SettleRequest) -> None:
        """Learn that the caller of a claim went away while it waits."""
        pending = self.pending.get(message.request_key)
        if pending is not None and message.outcome == states.REFUSED:
            pending.left = pending.left or message.call_id == pending.message.call_id

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
        """Tell whether nothing of a claim ran, nor will, so that it may be made anew."""
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
        """Wait for a new claim, own or of another call; None: look at the table again."""
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
        # In a task of its own: a router whose link breaks asks again and finds
        # its place in the budget's queue kept.
        try:
            pending.reply = await self._decider.decide(pending)
            self._release_left(pending)
        finally:
            self.pending.pop(pending.message.request_key, None)
            pending.done.set()
        if pending.reply is not None:
            self._counters.add(f'claims_{pending.reply.verdict}')
            self._remember(pending.message, pending.reply)

    def _remember(self, message: holders_pb2.ClaimRequest, reply: holders_pb2.ClaimReply) -> None:
        """Remember what a caller is told of a refused claim, which leaves no entry."""
        if reply.verdict == states.REFUSED:
            step = self._step_factory.step(states.TOLD, 0, f'{reply.code}: {reply.reason}')
            data_centre = self._context.identity.data_centre
            self._table.refused.add(refused_record(message, reply, step, data_centre))

    def _release_left(self, pending: Pending) -> None:
        """Release a claim at once whose caller went away while it was waiting."""
        entry = self._table.find(pending.message.request_key)
        if pending.left and entry is not None and entry.calls == {pending.message.call_id}:
            self._settler.close_not_run(entry, 'the caller left')
