"""Fakes of the ports that requests depend on: budgets, routing, engines, the view."""

import math
from collections import Counter
from collections.abc import AsyncIterator, Sequence

import anyio

from endivesaddle.fleet.configuration import Configuration, shard_of
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import (
    Choice,
    EngineEvent,
    NeverSent,
    Reserved,
    RoutingRequest,
    ServerLost,
)
from endivesaddle.fleet.sentinels import NOT_RUN, NotHolder, Refusal
from endivesaddle.wire import members_pb2, runs_pb2

TOKENS = 8
TOKEN_S = 0.5


class Ledger:
    """The budgets of all data centres: holders, reservations and bills."""

    def __init__(self) -> None:
        """Initialize with more tokens than any test needs."""
        self.holders: dict[str, str] = {}
        self.epochs: Counter[str] = Counter()
        self.unrecovered: set[str] = set()
        self.free_tokens = 10_000
        self.reserved: dict[tuple[str, str], int] = {}
        self.bills: list[tuple[str, str, int]] = []
        self.slow_s = 0.0


class FakeBudgets:
    """The port ``Budgets`` of one router, backed by the shared ledger."""

    def __init__(self, ledger: Ledger, identity: Identity) -> None:
        """Initialize for one router."""
        self.ledger = ledger
        self.identity = identity

    async def reserve(
        self, account: str, request_key: str, bound_tokens: int, deadline_unix_s: float
    ) -> Reserved | Refusal | NotHolder:
        """Reserve the worst case."""
        await anyio.sleep(self.ledger.slow_s)
        held = self.held(account)
        if isinstance(held, NotHolder):
            return held
        if bound_tokens > self.ledger.free_tokens:
            return Refusal('budget_spent', 'no tokens are left', NOT_RUN, 402)
        self.ledger.free_tokens -= bound_tokens
        self.ledger.reserved[self.identity.data_centre, request_key] = bound_tokens
        return held

    def settle(self, account: str, request_key: str, epoch: int, used_tokens: int) -> int:
        """Settle a request once; return the tokens used."""
        place = (self.identity.data_centre, request_key)
        bound_tokens = self.ledger.reserved.pop(place, None)
        if bound_tokens is not None:
            billed = min(used_tokens, bound_tokens)
            self.ledger.free_tokens += bound_tokens - billed
            self.ledger.bills += [(*place, billed)] if billed else []
        return used_tokens

    def held(self, account: str) -> Reserved | NotHolder:
        """Return the epoch under which this router holds the shard."""
        name = self.identity.data_centre
        if self.ledger.holders.get(name) != self.identity.address:
            return NotHolder('another router holds it', self.ledger.holders.get(name, ''))
        return Reserved(shard_of(account), name, 1 + self.ledger.epochs[name])

    def recovered(self, account: str) -> bool:
        """Tell whether the claims of earlier epochs are known."""
        return self.identity.address not in self.ledger.unrecovered

    def holder_address(self, account: str, data_centre: str) -> str:
        """Return the holder's address."""
        return self.ledger.holders.get(data_centre, '')

    def confirmed_unix_s(self, account: str) -> float:
        """Return infinity: the holder is always confirmed."""
        return math.inf


class FakeRouting:
    """Chooses the first server that isn't excluded; counts admissions and reported ends."""

    def __init__(self, servers: dict[str, str]) -> None:
        """Initialize with servers and the addresses of their sidecars."""
        self.servers = servers
        self.admitted = 0
        self.reported_ends = 0
        self.refuse = False
        self.wait_s = 0.0

    async def admit(
        self, routing_request: RoutingRequest, exclude: frozenset[str] = frozenset()
    ) -> Choice | Refusal:
        """Choose a server."""
        await anyio.sleep(self.wait_s)
        free = [name for name in self.servers if name not in exclude]
        if self.refuse or not free:
            return Refusal('no_capacity', 'no backend server is free', NOT_RUN, 503, 1)
        self.admitted += 1
        return Choice(free[0], self.servers[free[0]], 0)

    def first_token(self, choice: Choice, routing_request: RoutingRequest) -> None:
        """Ignore the first token."""

    def ended(
        self, choice: Choice, routing_request: RoutingRequest, ok: bool, used_tokens: int
    ) -> None:
        """Count a reported end."""
        self.reported_ends += 1

    def may_retry(self, account: str) -> bool:
        """Allow every retry."""
        return True


class FakeView:
    """Lists every instance that was added."""

    def __init__(self, data_centres: Sequence[str]) -> None:
        """Initialize without members."""
        self.configuration = Configuration(
            revision=1, data_centres={name: 'region' for name in data_centres}
        )
        self.listed: dict[str, members_pb2.Member] = {}

    def add(self, identity: Identity) -> None:
        """List an instance."""
        self.listed[identity.address] = members_pb2.Member(
            instance=identity.instance,
            role=identity.role,
            data_centre=identity.data_centre,
            address=identity.address,
            incarnation=identity.incarnation,
            state='live',
            server=identity.server,
        )

    def members(self, role: str, data_centre: str = '') -> Sequence[members_pb2.Member]:
        """Return the listed instances of a role."""
        return [
            member
            for member in self.listed.values()
            if member.role == role and data_centre in {'', member.data_centre}
        ]

    def leaving(self, instance: str) -> bool:
        """Return False: no instance leaves."""
        return False

    def loads(self) -> dict[str, runs_pb2.Load]:
        """Return no loads."""
        return {}


class ScriptedEngine:
    """An engine with its name in each token, so that a mix of runs can be detected.

    ``lose_after`` makes it break off after this many tokens; ``unsent`` makes it
    unreachable.
    """

    def __init__(self, name: str, seen: Counter[str]) -> None:
        """Initialize; the runs of each request are counted in ``seen``."""
        self.name = name
        self.seen = seen
        self.lose_after = -1
        self.unsent = False
        self.cancelled = 0
        self.token_s = TOKEN_S

    async def run(self, message: runs_pb2.StartRequest) -> AsyncIterator[EngineEvent]:
        """Answer with tokens at a steady pace."""
        if self.unsent:
            raise NeverSent('the engine is unreachable')
        self.seen[message.request_key] += 1
        ended = False
        try:
            async for event in self._events(message.stream):
                ended = event.ended
                yield event
        finally:
            self.cancelled += not ended

    async def load(self) -> runs_pb2.Load:
        """Report nothing."""
        return runs_pb2.Load()

    async def order(self, message: runs_pb2.OrderRequest) -> runs_pb2.OrderReply:
        """Refuse every order."""
        return runs_pb2.OrderReply()

    async def _events(self, stream: bool) -> AsyncIterator[EngineEvent]:
        yield EngineEvent(status=200, headers=(('content-type', 'text/plain'),))
        for index in range(TOKENS):
            await anyio.sleep(self.token_s)
            if index == self.lose_after:
                raise ServerLost('the engine broke off')
            yield EngineEvent(data=f'{self.name}{index} '.encode(), used_tokens=index + 1)
        if stream:
            yield EngineEvent(data=b'data: [DONE]\n\n', used_tokens=TOKENS)
        yield EngineEvent(ended=True, used_tokens=TOKENS)
