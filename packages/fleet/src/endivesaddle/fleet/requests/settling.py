"""Settlement at the holder: each request is billed once, whichever instance reports it."""

from collections.abc import Callable

from endivesaddle.fleet.requests import states
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.requests.events import CLOSED, LATE_ATTEMPT
from endivesaddle.fleet.requests.steps import StepFactory, append
from endivesaddle.fleet.requests.table import Entry, Table
from endivesaddle.wire import holders_pb2

Ended = Callable[[holders_pb2.Record], None]


class Settler:
    """Closes claims and settles their usage in the budget.

    ``ended(record)`` is called with each complete record.
    """

    def __init__(self, context: Context, table: Table, ended: Ended) -> None:
        """Settle claims of ``table``."""
        self._context = context
        self._table = table
        self._step_factory = StepFactory(context.identity, context.clock)
        self._ended = ended

    def settle(self, entry: Entry, message: holders_pb2.SettleRequest) -> holders_pb2.SettleReply:
        """Apply a report of an outcome; a repeated report changes nothing."""
        record = entry.record
        if message.outcome == states.REFUSED:
            return self._release_unused(entry, message)
        append(record, *message.steps)
        if not entry.open and record.state != states.UNKNOWN:
            return _settled(record)
        if message.attempt < record.attempt and not self._accept_late_answer(entry, message):
            # A newer attempt was dispatched, and the caller gets the answer of that one.
            LATE_ATTEMPT.log(request_key=record.request_key, attempt=message.attempt)
            self._note_usage(entry, message)
            return _settled(record)
        if message.outcome == states.FAILED and not message.call_id:
            return self._failed(entry, message)
        if message.outcome == states.UNKNOWN:
            return self._unknown(entry, message)
        self._end(entry, message.outcome, message.used_tokens)
        return _settled(record)

    def add_reported(self, record: holders_pb2.Record) -> Entry:
        """Add a claim that another instance reports, in a state that can be settled.

        Failure: a sidecar reports a provisional run to the successor of the holder that
        granted it. Symptom: the run is billed here and in the other data centre. Only
        holders know which runs are provisional, so the other data centres are queried about
        every run that no holder reported; such a run yields only to a certain bill.
        """
        own = holders_pb2.Record()
        own.CopyFrom(record)
        if own.may_repeat and not own.claimed_unix_s:
            own.unasked.extend(self._context.other_data_centres())
        entry = self._table.add(own)
        entry.billed = own.state == states.REFUSED
        return entry

    def close_unreported(self, entry: Entry) -> None:
        """Close a claim whose outcome was not reported by its stored deadline.

        The usage that an earlier attempt reported is billed. Without one, the worst case
        is: tokens generated and not billed would overspend the budget.
        """
        record = entry.record
        reported = entry.reported_tokens
        used_tokens = reported if reported >= 0 else record.bound_tokens
        CLOSED.log(request_key=record.request_key, used_tokens=used_tokens)
        self._end(entry, states.UNKNOWN, used_tokens)

    def close_claimed(self, entry: Entry) -> None:
        """Close a claim that is past its deadline and has no dispatched attempt.

        A later dispatch is refused from now on. An attempt that was given up may still be
        reported until the stored deadline for reports.
        """
        record = entry.record
        if entry.reported_tokens >= 0 or entry.may_have_run and self.report_deadline_passed(record):
            self.close_unreported(entry)
        elif entry.may_have_run:
            settings = self._context.settings
            again_unix_s = self._context.now_s() + settings.unasked_every_s
            self._table.schedule(record.request_key, again_unix_s)
        else:
            self.close_not_run(entry, 'not dispatched')

    def report_deadline_passed(self, record: holders_pb2.Record) -> bool:
        """Tell whether the stored deadline for reports of a run has passed."""
        settle_until_s = self._context.settings.settle_until_s
        return self._context.now_s() >= record.deadline_unix_s + settle_until_s

    def close_not_run(self, entry: Entry, reason: str) -> None:
        """Close a claim that certainly has not run and never will."""
        record = entry.record
        record.state = states.REFUSED
        record.outcome = states.REFUSED
        self.finish(entry, 0, reason)

    def finish(self, entry: Entry, used_tokens: int, detail: str) -> None:
        """Close a claim and bill it, unless other data centres have to be queried first."""
        record = entry.record
        record.ended_unix_s = self._context.now_s()
        record.used_tokens = used_tokens
        append(record, self._step_factory.step(record.state, record.attempt, detail))
        if record.unasked and used_tokens:
            # Provisional: the tokens stay reserved until all data centres have replied, so
            # that the request is billed in one place only.
            self._table.schedule(record.request_key, self._table.due_unix_s(entry))
            return
        self.bill(entry, used_tokens)

    def release(self, entry: Entry) -> None:
        """Release the reservation of a claim whose request is billed under another epoch."""
        record = entry.record
        self._context.budgets.settle(record.account, record.request_key, record.epoch, 0)
        entry.billed = True

    def bill(self, entry: Entry, used_tokens: int) -> None:
        """Settle the usage in the budget and pass the complete record to ``ended``."""
        record = entry.record
        record.used_tokens = self._context.budgets.settle(
            record.account, record.request_key, record.epoch, used_tokens
        )
        entry.billed = True
        append(record, self._step_factory.step('settled', record.attempt, f'{record.used_tokens}'))
        self._table.schedule(record.request_key, self._table.due_unix_s(entry))
        self._ended(record)

    def _release_unused(
        self, entry: Entry, message: holders_pb2.SettleRequest
    ) -> holders_pb2.SettleReply:
        record = entry.record
        append(record, *message.steps)
        entry.calls -= {message.call_id}
        if record.state == states.REFUSED:
            return _settled(record)
        overtaken = message.attempt < record.attempt or entry.may_have_run
        if record.state != states.CLAIMED or overtaken:
            return holders_pb2.SettleReply(reason=states.OUTRUN)
        if entry.calls:
            # Another call of the same request is waiting and may still run it, so this
            # caller must not get "not run".
            return holders_pb2.SettleReply(reason=states.OTHERS_ATTACHED)
        record.refusal_status = message.refusal_status
        self.close_not_run(entry, 'given back')
        return _settled(record)

    def _accept_late_answer(self, entry: Entry, message: holders_pb2.SettleRequest) -> bool:
        """Accept the answer of an attempt that was given up, if none has replaced it.

        Returns False if the answer is not accepted.
        """
        lost = entry.lost
        answered = message.outcome == states.ANSWERED and entry.record.state == states.CLAIMED
        if not answered or lost is None or lost.attempt != message.attempt:
            return False
        entry.restore_attempt(lost)
        return True

    def _failed(self, entry: Entry, message: holders_pb2.SettleRequest) -> holders_pb2.SettleReply:
        # The sidecar reports this after a while in which no router ran the request again.
        self._note_usage(entry, message)
        self._end(entry, states.FAILED, entry.reported_tokens)
        return _settled(entry.record)

    def _unknown(self, entry: Entry, message: holders_pb2.SettleRequest) -> holders_pb2.SettleReply:
        record = entry.record
        if not message.call_id:
            # The sidecar itself doesn't know more, so the usage it has seen is billed.
            if message.used_tokens:
                self._note_usage(entry, message)
            self.close_unreported(entry)
            return _settled(record)
        if entry.reported_tokens >= 0:
            self._end(entry, states.UNKNOWN, entry.reported_tokens)
        elif record.state != states.UNKNOWN:
            record.state = states.UNKNOWN
            record.outcome = states.UNKNOWN
            self._table.schedule(record.request_key, self._table.due_unix_s(entry))
        return _settled(record)

    def _note_usage(self, entry: Entry, message: holders_pb2.SettleRequest) -> None:
        entry.reported_tokens = max(entry.reported_tokens, message.used_tokens)

    def _end(self, entry: Entry, outcome: str, used_tokens: int) -> None:
        record = entry.record
        record.state = states.ENDED
        record.outcome = outcome
        self.finish(entry, used_tokens, outcome)


def _settled(record: holders_pb2.Record) -> holders_pb2.SettleReply:
    return holders_pb2.SettleReply(settled=True, billed_tokens=record.used_tokens)
