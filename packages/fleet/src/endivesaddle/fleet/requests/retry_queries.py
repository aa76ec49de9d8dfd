"""Queries to the holders of all other data centres about a possible retry."""

from typing import NamedTuple

import anyio

from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.requests import states
from endivesaddle.fleet.requests.context import Context
from endivesaddle.wire import holders_pb2, rpcs

MAX_HOLDERS = 3
"""Holders that are tried in one data centre for one query, redirects included."""


class RetryQueryResult(NamedTuple):
    """The combined replies of the other data centres.

    ``known`` is the record of a run or claim in another data centre, ``yield_to`` the data
    centre whose crossing claim has precedence, and ``unsure`` lists the data centres that
    gave no certain reply.
    """

    known: holders_pb2.Record | None = None
    yield_to: str = ''
    unsure: tuple[str, ...] = ()


class RetryQuerier:
    """Queries the holders of an account in other data centres about a request."""

    def __init__(self, context: Context) -> None:
        """Initialize for the queries of one instance."""
        self._context = context

    async def query_all(self, claim: holders_pb2.ClaimRequest, epoch: int) -> RetryQueryResult:
        """Query all other data centres concurrently, before a claim is granted."""
        others = self._context.other_data_centres()
        query = holders_pb2.AskRequest(
            request_key=claim.request_key,
            account=claim.account,
            digest=claim.digest,
            epoch=epoch,
            call_id=claim.call_id,
        )
        return _summarize(claim.digest, others, await self.query_each(query, others))

    async def query_each(
        self, query: holders_pb2.AskRequest, data_centres: list[str]
    ) -> dict[str, holders_pb2.AskReply]:
        """Query some data centres concurrently; those without a reply are left out."""
        query.data_centre = self._context.identity.data_centre
        query.mark_until_unix_s = self._context.now_s() + self._context.settings.mark_s
        replies: dict[str, holders_pb2.AskReply] = {}
        async with anyio.create_task_group() as group:
            for name in data_centres:
                group.start_soon(self._query_into, replies, name, query)
        return replies

    async def _query_into(
        self,
        replies: dict[str, holders_pb2.AskReply],
        data_centre: str,
        query: holders_pb2.AskRequest,
    ) -> None:
        deadline_unix_s = self._context.now_s() + self._context.settings.ask_s
        address = self._context.budgets.holder_address(query.account, data_centre)
        for _ in range(MAX_HOLDERS):
            if not address:
                return
            try:
                reply = await self._context.peers.call(address, rpcs.ASK, query, deadline_unix_s)
            except (PeerUnreachable, PeerNoReply, PeerRefused):
                return
            if reply.verdict != states.NOT_HOLDER:
                replies[data_centre] = reply
                return
            address = reply.holder


def _is_stale(record: holders_pb2.Record, replies: dict[str, holders_pb2.AskReply]) -> bool:
    """Tell whether a copy is outdated: the holder of its claim knows that nothing runs.

    Failure: a dispatch was copied, then refused, and its claim released. Symptom: a retry
    that relies on the copy starts a run under a reservation that no longer exists.
    """
    own = replies.get(record.data_centre)
    return own is not None and own.verdict == states.MARKED


def _summarize(
    digest: str, data_centres: list[str], replies: dict[str, holders_pb2.AskReply]
) -> RetryQueryResult:
    known = [
        (name, reply.record)
        for name, reply in replies.items()
        if reply.verdict == states.KNOWN and not _is_stale(reply.record, replies)
    ]
    # A record with the same body takes precedence over one whose key conflicts, and the
    # record of the holder that granted the claim over a copy, which may be older.
    known.sort(key=lambda found: (found[1].digest != digest, found[0] != found[1].data_centre))
    yields = [name for name, reply in replies.items() if reply.verdict == states.YIELD]
    certain = {name for name, reply in replies.items() if reply.verdict != states.UNSURE}
    return RetryQueryResult(
        known=known[0][1] if known else None,
        yield_to=yields[0] if yields else '',
        unsure=tuple(name for name in data_centres if name not in certain),
    )
