"""Copies of records on a second instance, in another data centre if there is one."""

from collections.abc import Iterator

import anyio

from endivesaddle.fleet.configuration import rendezvous
from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.requests import states
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.requests.table import Table
from endivesaddle.wire import holders_pb2, rpcs

MAX_TRIES = 4
"""Instances that are tried for storing one copy."""
HEDGE_S = 0.1
"""Seconds without a reply after which the next instance is tried as well."""

_ORDER = (states.CLAIMED, states.DISPATCHED, states.UNKNOWN, states.REFUSED, states.ENDED)


class Copies:
    """Keeps copies for other instances, and stores its own records on them.

    Failure: the holder that granted a claim dies. Symptom: its successor knows of no run,
    and a retry runs the request a second time. The copy is kept where the query about the
    retry arrives: at the account's holder in another data centre.
    """

    def __init__(self, context: Context) -> None:
        """Initialize with no copies."""
        self._context = context
        self._kept = Table(context.settings, context.clock)

    def __len__(self) -> int:
        """Return the number of copies on this instance."""
        return len(self._kept)

    async def copy(self, message: holders_pb2.CopyRequest) -> holders_pb2.CopyReply:
        """Store a copy for another instance."""
        record = message.record
        kept = self._kept.find(record.request_key)
        if kept is None and self._kept.full():
            return holders_pb2.CopyReply(reason='no room for another copy')
        if kept is None or _newer(record, kept.record):
            self._kept.add(record).pack()
        return holders_pb2.CopyReply(kept=True)

    def find(self, request_key: str) -> holders_pb2.Record | None:
        """Return the copy of a record."""
        entry = self._kept.find(request_key)
        return entry.record if entry else None

    def records(self) -> Iterator[holders_pb2.Record]:
        """Yield all copies."""
        for entry in self._kept:
            yield entry.record

    def sweep(self) -> None:
        """Remove expired copies."""
        for entry in self._kept.due():
            record = entry.record
            base_unix_s = max(record.deadline_unix_s, record.claimed_unix_s, record.ended_unix_s)
            forget_unix_s = base_unix_s + self._kept.keep_s(record)
            if forget_unix_s <= self._context.now_s():
                self._kept.drop(record.request_key)
            else:
                self._kept.schedule(record.request_key, forget_unix_s)

    async def replicate(self, record: holders_pb2.Record) -> bool:
        """Store a copy on another instance; return whether one accepted it.

        The next instance is tried as well when the one before has not answered within
        ``HEDGE_S``, so that a silent instance doesn't delay the request.
        """
        kept = anyio.Event()
        with anyio.move_on_after(self._context.settings.ask_s):
            async with anyio.create_task_group() as group:
                for position, address in enumerate(self._candidates(record)[:MAX_TRIES]):
                    group.start_soon(self._copy_to, address, record, position * HEDGE_S, kept)
                await kept.wait()
                group.cancel_scope.cancel()
        return kept.is_set()

    async def _copy_to(
        self, address: str, record: holders_pb2.Record, wait_s: float, kept: anyio.Event
    ) -> None:
        await anyio.sleep(wait_s)
        deadline_unix_s = self._context.now_s() + self._context.settings.ask_s
        message = holders_pb2.CopyRequest(record=record)
        try:
            reply = await self._context.peers.call(address, rpcs.COPY, message, deadline_unix_s)
        except (PeerUnreachable, PeerNoReply, PeerRefused):
            return
        if reply.kept:
            kept.set()

    def _candidates(self, record: holders_pb2.Record) -> list[str]:
        budgets = self._context.budgets
        ordered = rendezvous(record.request_key, self._context.other_data_centres())
        addresses = [budgets.holder_address(record.account, name) for name in ordered]
        for name in [*ordered, self._context.identity.data_centre]:
            routers = [member.address for member in self._context.view.members('router', name)]
            addresses.extend(rendezvous(record.request_key, routers)[:2])
        unique = dict.fromkeys(addresses)
        return [one for one in unique if one and one != self._context.identity.address]


def _newer(record: holders_pb2.Record, kept: holders_pb2.Record) -> bool:
    return _age(record) > _age(kept)


def _age(record: holders_pb2.Record) -> tuple[int, int, int]:
    return (record.epoch, record.attempt, _ORDER.index(record.state))
