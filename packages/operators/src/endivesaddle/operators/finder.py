"""Find records of requests at all routers, and put together what they know."""

import functools
from collections.abc import Awaitable, Callable, Iterable
from types import MappingProxyType
from typing import NamedTuple

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.ports import FleetView, Peers
from endivesaddle.operators.settings import OperatorSettings
from endivesaddle.operators.together import together
from endivesaddle.wire import rpcs
from endivesaddle.wire.holders_pb2 import FindReply, FindRequest, Record

Stored = Callable[[FindRequest], Awaitable[FindReply]]
"""Finds records that are kept in the store."""

_RANKS = MappingProxyType({'refused': 1, 'claimed': 2, 'dispatched': 3, 'unknown': 4, 'ended': 5})


class Found(NamedTuple):
    """Records, the newest first; ``gaps`` names who could not tell all, and why.

    ``claims`` are all records as they were told, one for each instance that knows one.
    """

    records: list[Record]
    gaps: list[str]
    claims: list[Record]


class Finder:
    """Asks every live router for records of requests."""

    def __init__(
        self,
        settings: OperatorSettings,
        identity: Identity,
        clock: Clock,
        view: FleetView,
        peers: Peers,
        stored: Stored | None = None,
    ) -> None:
        """Ask the routers in ``view``, this one, and the records kept in the store."""
        self._stored = stored
        self._settings = settings
        self._identity = identity
        self._clock = clock
        self._view = view
        self._peers = peers

    async def find(self, query: str = '', request_key: str = '', account: str = '') -> Found:
        """Return the records that match; times in ``query`` must not be relative."""
        most = self._settings.most_rows
        message = FindRequest(query=query, request_key=request_key, account=account, most=most)
        found = Found([], [], [])
        addresses = {member.address for member in self._view.members('router')}
        jobs = [
            functools.partial(self._ask, address, message, found)
            for address in sorted(addresses | {self._identity.address})
        ]
        if self._stored is not None:
            jobs.append(functools.partial(self._look_up, self._stored, message, found))
        await together(jobs)
        found.gaps.sort()
        return Found(merged(found.claims)[:most], found.gaps, found.claims)

    async def _look_up(self, stored: Stored, message: FindRequest, found: Found) -> None:
        # An instance forgets its records when it is replaced; the store keeps them longer.
        reply = await stored(message)
        found.claims.extend(reply.records)
        if not reply.complete:
            found.gaps.append(f'the store: {reply.reason}')

    async def _ask(self, address: str, message: FindRequest, found: Found) -> None:
        deadline_unix_s = self._clock.now_s() + self._settings.peer_call_s
        try:
            reply = await self._peers.call(address, rpcs.FIND, message, deadline_unix_s)
        except (PeerRefused, PeerNoReply, PeerUnreachable) as error:
            found.gaps.append(f'{address}: {error}')
            return
        found.claims.extend(reply.records)
        if not reply.complete:
            found.gaps.append(f'{address}: {reply.reason or "not all is known there"}')


def merged(records: Iterable[Record]) -> list[Record]:
    """Return one record for each request, the newest first.

    Several instances know parts of one request: the furthest of them tells its
    state, and the steps of all are put in order.
    """
    by_key: dict[str, list[Record]] = {}
    for record in records:
        by_key.setdefault(record.request_key, []).append(record)
    whole = [_merge(copies) for copies in by_key.values()]
    return sorted(whole, key=_newest_first)


def _merge(copies: list[Record]) -> Record:
    best = Record()
    best.CopyFrom(max(copies, key=_rank))
    steps = {step.SerializeToString(): step for copy in copies for step in copy.steps}
    best.ClearField('steps')
    best.steps.extend(sorted(steps.values(), key=lambda step: step.at_unix_s))
    return best


def _newest_first(record: Record) -> tuple[float, str]:
    return (-record.claimed_unix_s, record.request_key)


def _rank(record: Record) -> tuple[int, bool, int, int, int]:
    # Both sides of a partition may have run a request: the claim that was billed tells
    # its cost, the other one ended with nothing.
    billed = record.used_tokens > 0
    state = _RANKS.get(record.state, 0)
    return (state, billed, record.epoch, record.attempt, len(record.steps))
