"""Fakes around the life of a request: budgets, routing, engines, the view."""

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
    """All budgets: who holds, what is reserved, what was billed."""

    def __init__(self) -> None:
        """Start with plenty."""
        self.holders: dict[str, str] = {}
        self.epochs: Counter[str] = Counter()
        self.unrecovered: set[str] = set()
        self.free_tokens = 10_000
        self.reserved: dict[tuple[str, str], int] = {}
        self.bills: list[tuple[str, str, int]] = []
        self.slow_s = 0.0


class FakeBudgets:
    """The port ``Budgets`` of one router, over the one ledger."""

    def __init__(self, ledger: Ledger, identity: Identity) -> None:
        """Hold what the ledger says this address holds."""
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
        """Settle once."""
        place = (self.identity.data_centre, request_key)
        bound_tokens = self.ledger.reserved.pop(place, None)
        if bound_tokens is not None:
            billed = min(used_tokens, bound_tokens)
            self.ledger.free_tokens += bound_tokens - billed
            self.ledger.bills += [(*place, billed)] if billed else []
        return used_tokens

    def held(self, account: str) -> Reserved | NotHolder:
        """Tell the epoch that is held."""
        name = self.identity.data_centre
        if self.ledger.holders.get(name) != self.identity.address:
            return NotHolder('another router holds it', self.ledger.holders.get(name, ''))
        return Reserved(shard_of(account), name, 1 + self.ledger.epochs[name])

    def recovered(self, account: str) -> bool:
        """Tell whether older claims are known."""
        return self.identity.address not in self.ledger.unrecovered

    def holder_address(self, account: str, data_centre: str) -> str:
        """Return the holder's address."""
        return self.ledger.holders.get(data_centre, '')

    def confirmed_unix_s(self, account: str) -> float:
        """Always know at once who holds the shard."""
        return math.inf


class FakeRouting:
    """Choose the first server that isn't excluded; check that ends are told once."""

    def __init__(self, servers: dict[str, str]) -> None:
        """Know servers and the addresses of their sidecars."""
        self.servers = servers
        self.admitted = 0
        self.told = 0
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
        """Nothing to learn."""

    def ended(
        self, choice: Choice, routing_request: RoutingRequest, ok: bool, used_tokens: int
    ) -> None:
        """Count."""
        self.told += 1

    def may_retry(self, account: str) -> bool:
        """Allow every retry."""
        return True


class FakeView:
    """Everybody is listed until told otherwise."""

    def __init__(self, data_centres: Sequence[str]) -> None:
        """Start without members."""
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
        """Return who is listed."""
        return [
            member
            for member in self.listed.values()
            if member.role == role and data_centre in {'', member.data_centre}
        ]

    def leaving(self, instance: str) -> bool:
        """Nobody leaves."""
        return False

    def loads(self) -> dict[str, runs_pb2.Load]:
        """Nothing is reported."""
        return {}


class ScriptedEngine:
    """An engine that says its name with each token, so that a mix of runs shows.

    ``lose_after`` breaks off after so many tokens; ``unsent`` is out of reach.
    """

    def __init__(self, name: str, seen: Counter[str]) -> None:
        """Count the runs of each request in ``seen``."""
        self.name = name
        self.seen = seen
        self.lose_after = -1
        self.unsent = False
        self.cancelled = 0
        self.token_s = TOKEN_S

    async def run(self, message: runs_pb2.StartRequest) -> AsyncIterator[EngineEvent]:
        """Answer with tokens at a steady pace."""
        if self.unsent:
            raise NeverSent('the engine is out of reach')
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
