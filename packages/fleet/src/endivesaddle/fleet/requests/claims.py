"""Claims of requests at the holder of the account's budget."""

from collections.abc import Sequence

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import Budgets
from endivesaddle.fleet.ports import FleetView, Handlers, Peers
from endivesaddle.fleet.requests import states
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.requests.copies import Copies
from endivesaddle.fleet.requests.counting import Counters
from endivesaddle.fleet.requests.deciding import Decider
from endivesaddle.fleet.requests.dispatching import Dispatcher
from endivesaddle.fleet.requests.finding import Matcher, find_in, match_field
from endivesaddle.fleet.requests.granting import Granter
from endivesaddle.fleet.requests.record_merger import RecordMerger
from endivesaddle.fleet.requests.retry_marks import RetryMarks
from endivesaddle.fleet.requests.retry_queries import RetryQuerier
from endivesaddle.fleet.requests.retry_query_handler import RetryQueryHandler
from endivesaddle.fleet.requests.sealed_epochs import SealedEpochs
from endivesaddle.fleet.requests.settings import RequestSettings
from endivesaddle.fleet.requests.settling import Ended, Settler
from endivesaddle.fleet.requests.sweeping import Sweeper
from endivesaddle.fleet.requests.table import Table
from endivesaddle.fleet.sentinels import NotHolder
from endivesaddle.wire import holders_pb2, rpcs


class Claims:
    """The calls that an instance answers as a holder, and as a replica of other holders.

    Records are kept in one table by request key. All calls are idempotent: a claim that is
    sent twice is granted once.
    """

    def __init__(  # noqa: WPS211 (the ports of a holder, and two hooks)
        self,
        settings: RequestSettings,
        identity: Identity,
        budgets: Budgets,
        peers: Peers,
        view: FleetView,
        clock: Clock,
        matcher: Matcher = match_field,
        ended: Ended = lambda _: None,
    ) -> None:
        """Grant claims from ``budgets``; ``ended(record)`` is called with complete records."""
        context = Context(settings, identity, budgets, peers, view, clock)
        self._context = context
        self._matcher = matcher
        self._counters = Counters()
        self._seals = SealedEpochs()
        self._table = Table(settings, clock)
        self._marks = RetryMarks(clock)
        self._copies = Copies(context)
        retry_querier = RetryQuerier(context)
        self._settler = Settler(context, self._table, self._counters.ended(ended))
        self._record_merger = RecordMerger(self._table, self._settler)
        decider = Decider(context, retry_querier, self._table, self._marks, self._seals)
        self._granter = Granter(context, self._table, decider, self._settler, self._counters)
        self._retry_query_handler = RetryQueryHandler(
            context, self._table, self._copies, self._marks, self._granter.pending
        )
        self._dispatcher = Dispatcher(self._copies, self._seals.seals)
        self._sweeper = Sweeper(context, self._table, self._settler, retry_querier)

    def register(self, handlers: Handlers) -> None:
        """Register handlers for the calls of holders.proto that concern requests."""
        handlers.answer(rpcs.CLAIM, self.claim)
        handlers.answer(rpcs.ASK, self._retry_query_handler.handle)
        handlers.answer(rpcs.NOTE, self.note)
        handlers.answer(rpcs.SETTLE, self.settle)
        handlers.answer(rpcs.COPY, self._copies.copy)
        handlers.answer(rpcs.FIND, self.find)
        handlers.answer(rpcs.SEAL_CLAIMS, self.answer_seal)

    async def run(self) -> None:
        """Decide claims, close unreported ones and expire old records until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._granter.run)
            group.start_soon(self._sweeper.run, self._marks, self._copies)

    async def claim(self, message: holders_pb2.ClaimRequest) -> holders_pb2.ClaimReply:
        """Grant or refuse a claim, or report that its request is known or still waiting."""
        return await self._granter.claim(message)

    async def note(self, message: holders_pb2.NoteRequest) -> holders_pb2.NoteReply:
        """Record the steps of a note; accept or reject a dispatch."""
        held = self._context.budgets.held(message.account)
        if isinstance(held, NotHolder):
            return holders_pb2.NoteReply(reason=held.reason, holder=held.holder)
        entry = self._table.find(message.request_key)
        if entry is None:
            return holders_pb2.NoteReply(reason=states.NO_RECORD)
        return await self._dispatcher.note(entry, message, held)

    async def settle(self, message: holders_pb2.SettleRequest) -> holders_pb2.SettleReply:
        """Settle a request once, however many reports of it arrive."""
        own = self._context.identity.data_centre
        if message.data_centre not in {'', own}:
            holder = self._context.budgets.holder_address(message.account, message.data_centre)
            return holders_pb2.SettleReply(reason='claimed elsewhere', holder=holder)
        held = self._context.budgets.held(message.account)
        if isinstance(held, NotHolder):
            return holders_pb2.SettleReply(reason=held.reason, holder=held.holder)
        entry = self._table.find(message.request_key)
        if entry is None:
            self._granter.note_disconnect(message)
            if not message.HasField('record'):
                return holders_pb2.SettleReply(reason=states.NO_RECORD)
            entry = self._settler.add_reported(_reopened(message.record))
        return self._settler.settle(entry, message)

    async def find(self, message: holders_pb2.FindRequest) -> holders_pb2.FindReply:
        """Find records in the table, the refusals and the copies kept for other instances."""
        refused = self._table.refused
        own = [refused.with_refusals(entry.record) for entry in self._table]
        alone = [
            record for record in refused.records() if self._table.find(record.request_key) is None
        ]
        return find_in(message, [*own, *self._copies.records(), *alone], self._matcher)

    async def answer_seal(self, message: holders_pb2.SealRequest) -> holders_pb2.SealReply:
        """Seal epochs and reply with the records claimed under them."""
        return holders_pb2.SealReply(
            sealed=True,
            instance=self._context.identity.instance,
            incarnation=str(self._context.identity.incarnation),
            started_unix_s=self._sweeper.started_unix_s,
            records=await self.seal(message),
        )

    async def seal(self, message: holders_pb2.SealRequest) -> Sequence[holders_pb2.Record]:
        """Seal epochs and return the records claimed under them."""
        records = [entry.record for entry in self._table]
        return self._seals.seal(message, [*records, *self._copies.records()])

    def adopt(self, shard: int, records: Sequence[holders_pb2.Record], complete: bool) -> None:
        """Merge records of sealed epochs; ``complete`` is set if none is missing."""
        for record in records:
            if record.shard == shard:
                self._record_merger.merge(record)
        self._counters.add('adopted', len(records))

    def find_copy(self, request_key: str) -> holders_pb2.Record | None:
        """Return the copy of a record kept for another instance, if there is one."""
        return self._copies.find(request_key)

    def find_record(self, request_key: str) -> holders_pb2.Record | None:
        """Return the record of a request that this instance holds, if there is one."""
        entry = self._table.find(request_key)
        return None if entry is None else entry.record

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump of the process."""
        return {
            'records': len(self._table),
            'copies': len(self._copies),
            'marks': len(self._marks),
            'pending': sorted(self._granter.pending),
            'sealed': self._seals.dump(),
            'counters': self.counters(),
        }

    def counters(self) -> dict[str, float]:
        """Return the counters for metrics, by name."""
        return {
            **self._counters.read(),
            'records': len(self._table),
            'refused_records': len(self._table.refused),
            'copies': len(self._copies),
            'marks': len(self._marks),
            'pending': len(self._granter.pending),
            'asked': self._retry_query_handler.query_count,
        }


def _reopened(record: holders_pb2.Record) -> holders_pb2.Record:
    """Return a copy of the record of a lost claim, in a state that can be settled."""
    reopened = holders_pb2.Record()
    reopened.CopyFrom(record)
    reopened.state = states.DISPATCHED
    return reopened
