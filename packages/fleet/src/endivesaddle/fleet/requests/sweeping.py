"""Periodic work of a holder: closing, resolving and expiring claims."""

import enum

import anyio

from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.requests import states
from endivesaddle.fleet.requests.background import BackgroundTasks
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.requests.copies import Copies
from endivesaddle.fleet.requests.deciding import has_precedence
from endivesaddle.fleet.requests.events import RESOLVED
from endivesaddle.fleet.requests.retry_marks import RetryMarks
from endivesaddle.fleet.requests.retry_queries import RetryQuerier
from endivesaddle.fleet.requests.settling import Settler
from endivesaddle.fleet.requests.steps import StepFactory, append, has_step
from endivesaddle.fleet.requests.table import Entry, Table
from endivesaddle.fleet.sentinels import NotHolder
from endivesaddle.wire import holders_pb2, rpcs, runs_pb2

SWEEP_S = 0.5
MISSING_DATA_CENTRE_KEEP_S = 60.0
"""Added to the time a request is remembered while a data centre is not visible."""


class Sweeper:
    """Checks each claim when its scheduled time has come."""

    def __init__(
        self, context: Context, table: Table, settler: Settler, retry_querier: RetryQuerier
    ) -> None:
        """Sweep the table of one holder."""
        self.started_unix_s = 0.0
        self._context = context
        self._table = table
        self._settler = settler
        self._retry_querier = retry_querier
        self._step_factory = StepFactory(context.identity, context.clock)
        self._background = BackgroundTasks()

    async def run(self, marks: RetryMarks, copies: Copies) -> None:
        """Sweep until cancelled."""
        self.started_unix_s = self._context.now_s()
        async with anyio.create_task_group() as group:
            group.start_soon(self._background.run)
            while True:
                await anyio.sleep(SWEEP_S)
                marks.sweep()
                copies.sweep()
                for entry in self._table.due():
                    self._check(entry)

    def _check(self, entry: Entry) -> None:
        record = entry.record
        if entry.billed:
            self._forget(entry)
        elif isinstance(self._context.budgets.held(record.account), NotHolder):
            self._defer_to_holder(entry)
        elif record.state == states.CLAIMED:
            self._settler.close_claimed(entry)
        elif record.state == states.ENDED:
            self._background.start(self._resolve, entry)
        else:
            self._check_run(entry)

    def _defer_to_holder(self, entry: Entry) -> None:
        """Leave an open claim to the current holder of the shard.

        Failure: a holder is paused, another takes over its shard, and it resumes.
        Symptom: it bills the worst case for its old claim, in addition to the bill of the
        same request under the claim that its successor granted. Deferring is enough: the
        successor, or this instance once it holds the shard again, learns of all claims
        before it closes any.
        """
        record = entry.record
        settings = self._context.settings
        kept_s = settings.settle_until_s + settings.keep_once_s
        if record.deadline_unix_s + kept_s < self._context.now_s():
            self._table.drop(record.request_key)
        else:
            self._reschedule(record)

    def _check_run(self, entry: Entry) -> None:
        record = entry.record
        if self._settler.report_deadline_passed(record) or self._is_replaced(record):
            self._close(entry)
        elif self._context.now_s() < record.deadline_unix_s:
            # Its router gave up on the run, but the sidecar may still be running it.
            self._reschedule(record)
        else:
            self._background.start(self._query_sidecar, entry)

    def _close(self, entry: Entry) -> None:
        """Bill an unreported claim once the store has confirmed that this instance holds it.

        A holder that was paused doesn't know at first that another took over, nor, once it
        holds the shard again, what was billed in between; see ``_defer_to_holder``.
        """
        record = entry.record
        budgets = self._context.budgets
        confirmed = budgets.confirmed_unix_s(record.account) >= record.deadline_unix_s
        if confirmed and budgets.recovered(record.account):
            self._settler.close_unreported(entry)
        else:
            self._reschedule(record)

    def _reschedule(self, record: holders_pb2.Record) -> None:
        again_unix_s = self._context.now_s() + self._context.settings.unasked_every_s
        self._table.schedule(record.request_key, again_unix_s)

    def _is_replaced(self, record: holders_pb2.Record) -> bool:
        """Tell whether the sidecar was restarted and has therefore lost the run."""
        for member in self._context.view.members('sidecar'):
            if member.address == record.sidecar:
                return record.sidecar_incarnation not in {0, member.incarnation}
        return False

    def _forget(self, entry: Entry) -> None:
        record = entry.record
        due_unix_s = self._table.due_unix_s(entry)
        if due_unix_s <= self._context.now_s() and not entry.packed:
            entry.pack()
            due_unix_s = self._table.due_unix_s(entry)
        if (
            due_unix_s <= self._context.now_s()
            and self._data_centre_missing()
            and not self._table.full()
        ):
            due_unix_s = self._context.now_s() + MISSING_DATA_CENTRE_KEEP_S
        if due_unix_s <= self._context.now_s():
            self._table.drop(record.request_key)
        else:
            self._table.schedule(record.request_key, due_unix_s)

    def _data_centre_missing(self) -> bool:
        """Tell whether no live router of some data centre is visible.

        Failure: a retry ran there provisionally, and its holder sends its query only when
        the partition heals. Symptom: the run on this side is forgotten by then, and the
        request is billed twice.
        """
        routers = self._context.view.members('router')
        seen = {member.data_centre for member in routers if member.state == 'live'}
        return not seen.issuperset(self._context.other_data_centres())

    async def _query_sidecar(self, entry: Entry) -> None:
        """Query the sidecar of an unreported run whether the run ever started.

        The query is a CANCEL. It does no harm, since the deadline has passed and the run
        has to stop anyway, and the sidecar refuses a START that arrives after it.
        """
        record = entry.record
        message = runs_pb2.CancelRequest(
            request_key=record.request_key,
            attempt=record.attempt,
            reason='the deadline of the request passed',
            incarnation=record.sidecar_incarnation,
        )
        deadline_unix_s = self._context.now_s() + self._context.settings.call_s
        not_run = False
        try:
            reply = await self._context.peers.call(
                record.sidecar, rpcs.CANCEL, message, deadline_unix_s
            )
            not_run = reply.not_run
        except (PeerUnreachable, PeerNoReply, PeerRefused):
            not_run = False
        if not_run and not entry.billed and message.attempt == record.attempt:
            record.state = states.CLAIMED
            self._settler.close_claimed(entry)
            return
        self._reschedule(record)

    async def _resolve(self, entry: Entry) -> None:
        """Query the data centres that could not be reached before a provisional run."""
        record = entry.record
        own = self._context.identity.data_centre
        query = holders_pb2.AskRequest(
            request_key=record.request_key,
            account=record.account,
            digest=record.digest,
            epoch=record.epoch,
        )
        others = [name for name in record.unasked if name != own]
        replies = await self._retry_querier.query_each(query, others)
        if entry.billed:
            return
        remaining = [name for name in record.unasked if not self._answered(record, name, replies)]
        elsewhere = any(
            self._is_billed_elsewhere(record, reply.record) for reply in replies.values()
        )
        record.ClearField('unasked')
        record.unasked.extend(remaining)
        if elsewhere or entry.billed_elsewhere:
            append(record, self._step_factory.step(states.BILLED_ELSEWHERE, record.attempt))
            self._settler.bill(entry, 0)
        elif remaining:
            self._table.schedule(record.request_key, self._table.due_unix_s(entry))
            return
        else:
            self._settler.bill(entry, record.used_tokens)
        RESOLVED.log(request_key=record.request_key, billed_tokens=record.used_tokens)

    def _answered(
        self,
        record: holders_pb2.Record,
        data_centre: str,
        replies: dict[str, holders_pb2.AskReply],
    ) -> bool:
        if data_centre == self._context.identity.data_centre:
            return self._context.budgets.recovered(record.account)
        reply = replies.get(data_centre)
        if reply is None or reply.verdict == states.UNSURE:
            return False
        return not _may_end_not_run(record, reply.record)

    def _is_billed_elsewhere(self, own: holders_pb2.Record, other: holders_pb2.Record) -> bool:
        """Tell whether another data centre bills the request, so that this one must not.

        Both sides of a partition may have run it. The more certain bill stands; between
        two equally certain ones, both sides decide by the same fixed order.
        """
        if other.data_centre in {'', own.data_centre} or other.state == states.REFUSED:
            return False
        if _may_end_not_run(own, other):
            return False
        if has_step(other, states.BILLED_ELSEWHERE):
            return False
        theirs = _bill_certainty(other, own.data_centre)
        ours = _bill_certainty(own, other.data_centre)
        if theirs is ours:
            return has_precedence(own.request_key, other.data_centre, own.data_centre)
        return theirs < ours


def _may_end_not_run(own: holders_pb2.Record, other: holders_pb2.Record) -> bool:
    """Tell whether another data centre has an open claim that may yet end without a run.

    Failure: a router in that data centre is paused between the dispatch and the START.
    Symptom: this run is not billed in favour of a bill that never comes, and an answered
    request costs nothing.
    """
    if other.data_centre in {'', own.data_centre}:
        return False
    return other.state in {states.CLAIMED, states.DISPATCHED}


class BillCertainty(enum.IntEnum):
    """How certain a bill is; of two bills the one with the lower value stands."""

    CERTAIN = 0
    REPORTED = 1
    PROVISIONAL = 2


def _bill_certainty(record: holders_pb2.Record, asked: str) -> BillCertainty:
    """Return how certain a bill is with respect to the data centre ``asked``."""
    if asked not in record.unasked:
        return BillCertainty.CERTAIN
    return BillCertainty.PROVISIONAL if record.provisional else BillCertainty.REPORTED
