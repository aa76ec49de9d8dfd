"""Replies of a holder to queries about a possible retry in another data centre."""

from endivesaddle.fleet.requests import states
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.requests.copies import Copies
from endivesaddle.fleet.requests.deciding import Pending, has_precedence
from endivesaddle.fleet.requests.retry_marks import RetryMarks
from endivesaddle.fleet.requests.table import Entry, Table
from endivesaddle.fleet.sentinels import NotHolder
from endivesaddle.wire import holders_pb2


class RetryQueryHandler:
    """Replies with the record of a request, or marks the request if none is known."""

    def __init__(
        self,
        context: Context,
        table: Table,
        copies: Copies,
        marks: RetryMarks,
        pending: dict[str, Pending],
    ) -> None:
        """Reply from the table, the copies and the pending claims."""
        self.query_count = 0
        self._context = context
        self._table = table
        self._copies = copies
        self._marks = marks
        self._pending = pending

    async def handle(self, message: holders_pb2.AskRequest) -> holders_pb2.AskReply:
        """Reply to a query of another data centre."""
        budgets = self._context.budgets
        held = budgets.held(message.account)
        if isinstance(held, NotHolder):
            return holders_pb2.AskReply(
                verdict=states.NOT_HOLDER, reason=held.reason, holder=held.holder
            )
        self.query_count += 1
        known = self._known(message)
        if known is not None:
            return holders_pb2.AskReply(verdict=states.KNOWN, record=known)
        if not self._yield_to(message):
            return holders_pb2.AskReply(verdict=states.YIELD)
        self._marks.add(message.request_key, message.mark_until_unix_s)
        sure = budgets.recovered(message.account)
        return holders_pb2.AskReply(verdict=states.MARKED if sure else states.UNSURE)

    def _known(self, message: holders_pb2.AskRequest) -> holders_pb2.Record | None:
        entry = self._table.find(message.request_key)
        if entry is not None and entry.record.state != states.REFUSED:
            self._attach(entry, message)
            return entry.record
        copy = self._copies.find(message.request_key)
        if copy is not None and copy.state != states.REFUSED:
            return copy
        return None

    def _attach(self, entry: Entry, message: holders_pb2.AskRequest) -> None:
        if entry.open and message.call_id:
            entry.calls |= {message.call_id}

    def _yield_to(self, message: holders_pb2.AskRequest) -> bool:
        """Yield to a crossing claim if it has precedence; return False if it has not."""
        pending = self._pending.get(message.request_key)
        if pending is None or not message.call_id:
            return True
        own = self._context.identity.data_centre
        if has_precedence(message.request_key, own, message.data_centre):
            return False
        pending.yield_to = message.data_centre
        return True
