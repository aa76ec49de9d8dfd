"""Claims of requests at the holder of their account's budget."""

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
    """What an instance answers as holder, and as keeper of copies for others.

    One table of records by request key.  Every answer may be asked for again:
    a claim that is sent twice is granted once.
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
        """Claim against ``budgets``; ``ended(record)`` is told of complete records."""
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
        """Answer the calls of holders.proto that are about requests."""
        handlers.answer(rpcs.CLAIM, self.claim)
        handlers.answer(rpcs.ASK, self._retry_query_handler.ask)
        handlers.answer(rpcs.NOTE, self.note)
        handlers.answer(rpcs.SETTLE, self.settle)
        handlers.answer(rpcs.COPY, self._copies.copy)
        handlers.answer(rpcs.FIND, self.find)
        handlers.answer(rpcs.SEAL_CLAIMS, self.answer_seal)

    async def run(self) -> None:
        """Carry out claims, close what nobody reports, forget what is old."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._granter.run)
            group.start_soon(self._sweeper.run, self._marks, self._copies)

    async def claim(self, message: holders_pb2.ClaimRequest) -> holders_pb2.ClaimReply:
        """Grant a request, tell that it is known or waiting, or refuse it."""
        return await self._granter.claim(message)

    async def note(self, message: holders_pb2.NoteRequest) -> holders_pb2.NoteReply:
        """Write down steps; accept or refuse a dispatch."""
        held = self._context.budgets.held(message.account)
        if isinstance(held, NotHolder):
            return holders_pb2.NoteReply(reason=held.reason, holder=held.holder)
        entry = self._table.find(message.request_key)
        if entry is None:
            return holders_pb2.NoteReply(reason=states.NO_RECORD)
        return await self._dispatcher.note(entry, message, held)

    async def settle(self, message: holders_pb2.SettleRequest) -> holders_pb2.SettleReply:
        """Settle a request, once, whoever reports it and how often."""
        own = self._context.identity.data_centre
        if message.data_centre not in {'', own}:
            holder = self._context.budgets.holder_address(message.account, message.data_centre)
            return holders_pb2.SettleReply(reason='claimed elsewhere', holder=holder)
        held = self._context.budgets.held(message.account)
        if isinstance(held, NotHolder):
            return holders_pb2.SettleReply(reason=held.reason, holder=held.holder)
        entry = self._table.find(message.request_key)
        if entry is None:
            self._granter.leave(message)
            if not message.HasField('record'):
                return holders_pb2.SettleReply(reason=states.NO_RECORD)
            entry = self._settler.add_reported(_reopened(message.record))
        return self._settler.settle(entry, message)

    async def find(self, message: holders_pb2.FindRequest) -> holders_pb2.FindReply:
        """Look through the table and the copies kept for others."""
        refused = self._table.refused
        own = [refused.with_refusals(entry.record) for entry in self._table]
        alone = [
            record for record in refused.records() if self._table.find(record.request_key) is None
        ]
        return find_in(message, [*own, *self._copies.records(), *alone], self._matcher)

    async def answer_seal(self, message: holders_pb2.SealRequest) -> holders_pb2.SealReply:
        """Seal epochs and report what was claimed under them."""
        return holders_pb2.SealReply(
            sealed=True,
            instance=self._context.identity.instance,
            incarnation=str(self._context.identity.incarnation),
            started_unix_s=self._sweeper.started_unix_s,
            records=await self.seal(message),
        )

    async def seal(self, message: holders_pb2.SealRequest) -> Sequence[holders_pb2.Record]:
        """Grant nothing more under the sealed epochs; report what was claimed."""
        records = [entry.record for entry in self._table]
        return self._seals.seal(message, [*records, *self._copies.records()])

    def adopt(self, shard: int, records: Sequence[holders_pb2.Record], complete: bool) -> None:
        """Take in what ran under sealed epochs; ``complete``: nothing is missing."""
        for record in records:
            if record.shard == shard:
                self._record_merger.merge(record)
        self._counters.add('adopted', len(records))

    def find_copy(self, request_key: str) -> holders_pb2.Record | None:
        """Return the copy of a record that is kept here for another instance."""
        return self._copies.find(request_key)

    def find_record(self, request_key: str) -> holders_pb2.Record | None:
        """Return what is known of a request here as its holder."""
        entry = self._table.find(request_key)
        return None if entry is None else entry.record

    def dump(self) -> dict[str, object]:
        """Return the state for the dump of the process."""
        return {
            'records': len(self._table),
            'copies': len(self._copies),
            'marks': len(self._marks),
            'pending': sorted(self._granter.pending),
            'sealed': self._seals.dump(),
            'counters': self.counters(),
        }

    def counters(self) -> dict[str, float]:
        """Return counters for metrics."""
        return {
            **self._counters.read(),
            'records': len(self._table),
            'refused_records': len(self._table.refused),
            'copies': len(self._copies),
            'marks': len(self._marks),
            'pending': len(self._granter.pending),
            'asked': self._retry_query_handler.asked,
        }


def _reopened(record: holders_pb2.Record) -> holders_pb2.Record:
    """Return a full copy of a lost claim, ready to be settled."""
    reopened = holders_pb2.Record()
    reopened.CopyFrom(record)
    reopened.state = states.DISPATCHED
    return reopened
