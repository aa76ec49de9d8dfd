"""The decision of a holder on a new claim: query other data centres, reserve, grant or refuse."""

import anyio

from endivesaddle.fleet.clock import left_s
from endivesaddle.fleet.configuration import rendezvous
from endivesaddle.fleet.interfaces import Reserved
from endivesaddle.fleet.requests import refusals, states
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.requests.events import CLAIM_REFUSED, CLAIM_YIELDED, PROVISIONAL
from endivesaddle.fleet.requests.retry_marks import RetryMarks
from endivesaddle.fleet.requests.retry_queries import RetryQuerier, RetryQueryResult
from endivesaddle.fleet.requests.sealed_epochs import SealedEpochs
from endivesaddle.fleet.requests.steps import StepFactory, append
from endivesaddle.fleet.requests.table import Entry, Table
from endivesaddle.fleet.sentinels import NOT_RUN, RUN_UNKNOWN, NotHolder, Refusal
from endivesaddle.wire import holders_pb2

RECOVERY_POLL_S = 0.05
FIRST_EPOCH = 1


def has_precedence(request_key: str, one: str, other: str) -> bool:
    """Tell whether ``one`` has precedence over ``other`` for two crossing claims.

    Every data centre gets the same result.
    """
    return rendezvous(request_key, [one, other])[0] == one


class Pending:
    """A claim being decided; other claims with the same key wait for it."""

    def __init__(self, message: holders_pb2.ClaimRequest) -> None:
        """Initialize without a decision.

        ``yield_to`` is the data centre whose crossing claim has precedence; ``disconnected`` is
        set once the caller has disconnected.
        """
        self.message = message
        self.done = anyio.Event()
        self.reply: holders_pb2.ClaimReply | None = None
        self.yield_to = ''
        self.disconnected = False

    def answers(self, message: holders_pb2.ClaimRequest) -> bool:
        """Tell whether the reply is also valid for another claim of the same key.

        A grant isn't: the other call attaches to it. A refusal isn't if the other claim is
        a retry, for which the other data centres would have had to be queried first.
        """
        if self.reply is None or self.reply.verdict in {states.GRANTED, states.KNOWN}:
            return False
        same = self.message.digest == message.digest
        return same and (message.first_attempt or not self.message.first_attempt)


class Decider:
    """Decides on claims of requests that this holder does not know."""

    def __init__(
        self,
        context: Context,
        retry_querier: RetryQuerier,
        table: Table,
        marks: RetryMarks,
        seals: SealedEpochs,
    ) -> None:
        """Decide for one holder."""
        self._seals = seals
        self._context = context
        self._retry_querier = retry_querier
        self._table = table
        self._marks = marks
        self._step_factory = StepFactory(context.identity, context.clock)

    async def decide(self, pending: Pending) -> holders_pb2.ClaimReply | None:
        """Return the reply, or None if the request became known in the meantime."""
        message = pending.message
        held = self._context.budgets.held(message.account)
        if isinstance(held, NotHolder):
            return _not_holder(held)
        query_result = await self._query(message, held)
        if query_result.known is not None and not self._is_released(query_result.known):
            return self._reply_known(query_result.known, message, query_result)
        if query_result.yield_to:
            return self._redirect_to(query_result.yield_to, message)
        if self._is_known(message.request_key):
            return None
        return await self._reserve(pending, query_result)

    async def conflict(self, message: holders_pb2.ClaimRequest) -> holders_pb2.ClaimReply:
        """Refuse a key reused with another body.

        The refusal says "not run" only if no data centre knows a request with this body.
        """
        not_run = NOT_RUN
        if not message.first_attempt:
            query_result = await self._retry_querier.query_all(message, 0)
            known = query_result.known is not None and query_result.known.digest == message.digest
            not_run = RUN_UNKNOWN if known or query_result.unsure else NOT_RUN
        return refusals.to_reply(refusals.IDEMPOTENCY_CONFLICT.refuse(not_run))

    async def _reserve(
        self, pending: Pending, query_result: RetryQueryResult
    ) -> holders_pb2.ClaimReply | None:
        message = pending.message
        not_run = RUN_UNKNOWN if query_result.unsure else NOT_RUN
        refusal = self._check(message, query_result)
        if refusal is not None:
            return self._refuse(message, refusal, not_run)
        reserved = await self._context.budgets.reserve(
            message.account, message.request_key, message.bound_tokens, message.deadline_unix_s
        )
        if isinstance(reserved, Refusal):
            return self._refuse(message, reserved, not_run)
        if isinstance(reserved, NotHolder):
            return _not_holder(reserved)
        return self._grant(pending, reserved, query_result)

    async def _query(self, message: holders_pb2.ClaimRequest, held: Reserved) -> RetryQueryResult:
        if not self._possible_retry(message, held):
            return RetryQueryResult()
        query_result = await self._retry_querier.query_all(message, held.epoch)
        if query_result.known is not None or query_result.yield_to:
            return query_result
        if await self._recovered(message):
            return query_result
        return query_result._replace(
            unsure=(*query_result.unsure, self._context.identity.data_centre)
        )

    def _possible_retry(self, message: holders_pb2.ClaimRequest, held: Reserved) -> bool:
        if not message.first_attempt or self._marks.marked(message.request_key):
            return True
        return not message.may_repeat and self._marks_may_be_missing(held)

    def _marks_may_be_missing(self, held: Reserved) -> bool:
        """Tell whether marks set at an earlier holder may be missing on this instance.

        Failure: a first attempt is delayed, its retry ran in another data centre, and the
        holder that had the mark was replaced. Symptom: the request runs twice. So a new
        holder treats every first attempt as a retry until all earlier marks have expired.
        """
        lasting_unix_s = held.since_unix_s + self._context.settings.mark_s
        return held.epoch > FIRST_EPOCH and self._context.now_s() < lasting_unix_s

    async def _recovered(self, message: holders_pb2.ClaimRequest) -> bool:
        """Wait up to ``recovery_wait_s`` for the claims of earlier epochs to be recovered."""
        until_unix_s = self._context.now_s() + self._context.settings.recovery_wait_s
        until_unix_s = min(until_unix_s, message.deadline_unix_s)
        while not self._context.budgets.recovered(message.account):
            if left_s(self._context.clock, until_unix_s) <= 0 or message.may_repeat:
                return False
            await anyio.sleep(RECOVERY_POLL_S)
        return True

    def _check(
        self, message: holders_pb2.ClaimRequest, query_result: RetryQueryResult
    ) -> Refusal | None:
        if message.deadline_unix_s <= self._context.now_s():
            return refusals.DEADLINE_PASSED.refuse(NOT_RUN)
        if query_result.unsure and not message.may_repeat:
            return refusals.RETRY_UNSURE.refuse(RUN_UNKNOWN, ', '.join(query_result.unsure))
        if self._table.full():
            return refusals.TOO_MANY_RECORDS.refuse(NOT_RUN)
        return None

    def _refuse(
        self, message: holders_pb2.ClaimRequest, refusal: Refusal, not_run: str
    ) -> holders_pb2.ClaimReply:
        CLAIM_REFUSED.log(request_key=message.request_key, code=refusal.code)
        return refusals.to_reply(refusals.weaken(refusal, not_run))

    def _is_known(self, request_key: str) -> bool:
        entry = self._table.find(request_key)
        return entry is not None and entry.record.state in {
            states.DISPATCHED, states.ENDED, states.UNKNOWN,
        }  # fmt: skip

    def _is_released(self, record: holders_pb2.Record) -> bool:
        """Tell whether a record of another instance is a copy of a claim released here."""
        entry = self._table.find(record.request_key)
        if entry is None or record.data_centre != self._context.identity.data_centre:
            return False
        return entry.record.epoch >= record.epoch and entry.record.attempt >= record.attempt

    def _reply_known(
        self,
        record: holders_pb2.Record,
        message: holders_pb2.ClaimRequest,
        query_result: RetryQueryResult,
    ) -> holders_pb2.ClaimReply | None:
        if record.digest != message.digest:
            sure = not query_result.unsure and self._context.budgets.recovered(message.account)
            refusal = refusals.IDEMPOTENCY_CONFLICT.refuse(NOT_RUN if sure else RUN_UNKNOWN)
            return refusals.to_reply(refusal)
        if record.data_centre == self._context.identity.data_centre:
            # The record is a copy of a claim granted by an earlier holder of this data centre.
            self._table.add(record)
            return None
        return holders_pb2.ClaimReply(verdict=states.KNOWN, record=record)

    def _redirect_to(
        self, data_centre: str, message: holders_pb2.ClaimRequest
    ) -> holders_pb2.ClaimReply:
        CLAIM_YIELDED.log(request_key=message.request_key, to=data_centre)
        return holders_pb2.ClaimReply(
            verdict=states.NOT_HOLDER,
            reason=f'the claim in {data_centre} goes first',
            holder=self._context.budgets.holder_address(message.account, data_centre),
        )

    def _grant(
        self, pending: Pending, reserved: Reserved, query_result: RetryQueryResult
    ) -> holders_pb2.ClaimReply | None:
        message = pending.message
        if self._seals.sealed(reserved.shard, reserved.data_centre, reserved.epoch):
            # A holder that was paused doesn't know yet that another took over, and the
            # instance that sealed its epoch got a report of its claims without this one.
            self._context.budgets.settle(message.account, message.request_key, reserved.epoch, 0)
            return _not_holder(NotHolder(states.OLD_EPOCH, ''))
        if pending.yield_to or self._is_known(message.request_key):
            self._context.budgets.settle(message.account, message.request_key, reserved.epoch, 0)
            if pending.yield_to:
                return self._redirect_to(pending.yield_to, message)
            return None
        previous = self._table.find(message.request_key)
        record = self._record(message, reserved, query_result, previous)
        entry = self._table.add(record)
        entry.owner = message.call_id
        entry.calls = frozenset((message.call_id,))
        if previous is not None:
            entry.calls |= previous.calls
        return holders_pb2.ClaimReply(verdict=states.GRANTED, record=record)

    def _record(
        self,
        message: holders_pb2.ClaimRequest,
        reserved: Reserved,
        query_result: RetryQueryResult,
        previous: Entry | None,
    ) -> holders_pb2.Record:
        record = holders_pb2.Record(
            request_key=message.request_key,
            account=message.account,
            digest=message.digest,
            shard=reserved.shard,
            data_centre=reserved.data_centre,
            epoch=reserved.epoch,
            batch=reserved.batch,
            state=states.CLAIMED,
            may_repeat=message.may_repeat,
            bound_tokens=message.bound_tokens,
            target=message.target,
            router=message.router,
            claimed_unix_s=self._context.now_s(),
            deadline_unix_s=message.deadline_unix_s,
            provisional=bool(query_result.unsure),
            unasked=query_result.unsure,
        )
        if previous is not None:
            # The attempt number continues, so that a late chunk of a withdrawn attempt is
            # never mistaken for a chunk of the next one.
            record.attempt = previous.record.attempt
            append(record, *previous.record.steps)
        append(record, *self._table.refused.pop(message.request_key))
        append(record, self._step_factory.step('claimed', record.attempt, message.router))
        if record.provisional:
            PROVISIONAL.log(request_key=record.request_key, unasked=list(query_result.unsure))
        return record


def _not_holder(held: NotHolder) -> holders_pb2.ClaimReply:
    return holders_pb2.ClaimReply(verdict=states.NOT_HOLDER, reason=held.reason, holder=held.holder)
