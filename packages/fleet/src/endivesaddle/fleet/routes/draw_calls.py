"""Call allocators to draw tokens of prepaid totals, and apply their replies to the pools."""

import math
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import FleetError
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes import sidecar_events
from endivesaddle.fleet.routes.account_pool import AccountPool, Reported
from endivesaddle.fleet.routes.allocator import Allocator
from endivesaddle.fleet.routes.allocator_choice import LEAVING_S, AllocatorChoice
from endivesaddle.fleet.routes.call_times import TimedPeers
from endivesaddle.fleet.routes.declared import RouteAccount
from endivesaddle.fleet.routes.grant_group import GROUPS
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routes.supply import SupplySettings
from endivesaddle.wire import rpcs
from endivesaddle.wire.routers_pb2 import (
    Claim,
    DrawReply,
    DrawRequest,
    DrawWord,
    HeldReply,
    HeldRequest,
)

CALL_S = 0.25
"""Time limit of a call.

An allocator answers within a few ms, or after waiting 0.15 s for the store.  While calls of this
process are slow, the limit grows accordingly."""


class PrepaidPoolsParts(NamedTuple):
    """What the pools depend on; ``own`` is the allocator in the same process."""

    incarnation: str
    address: str
    routing_state: RoutingState
    choice: AllocatorChoice
    own: Allocator
    peers: TimedPeers
    clock: Clock
    supply: SupplySettings = SupplySettings()


class OpenCall:
    """One call that may be answered after its time limit."""

    def __init__(self) -> None:
        """Initialize without an answer."""
        self.reply: DrawReply | None = None
        self.failure = ''
        self.ended = anyio.Event()


class DrawCalls:
    """The pools of one incarnation of a router, and its calls to the allocators."""

    def __init__(self, parts: PrepaidPoolsParts) -> None:
        """Initialize without pools."""
        self.pools: dict[str, AccountPool] = {}
        self.parts = parts
        self._incarnations: dict[str, str] = {}
        self._ended: set[str] = set()
        self._claims_requested: dict[str, tuple[str, ...]] = {}

    def register(self, handlers: Handlers) -> None:
        """Register the handler for allocators that ask about their ended incarnations."""
        handlers.answer(rpcs.HELD, self._report_held)

    def pool(self, name: str) -> AccountPool:
        """Return the pool of an account, a new one if needed."""
        pool = self.pools.get(name)
        if pool is None:
            pool = AccountPool(self.parts.clock)
            self.pools[name] = pool
        return pool

    def give_back(self, pool: AccountPool, tokens: int) -> None:
        """Mark tokens to be given back to allocators that are still running."""
        present = set(self._incarnations.values())
        pool.give_back(
            tokens, [incarnation for incarnation in pool.allocations if incarnation in present]
        )

    def prepaid(self) -> list[str]:
        """Return the names of the accounts with a prepaid total."""
        declarations = self.parts.routing_state.declarations
        accounts = declarations.accounts.values() if declarations else ()
        return [one.name for one in accounts if one.total_tokens is not None]

    def total(self, name: str) -> int:
        """Return the prepaid total of an account, 0 if it has none."""
        declarations = self.parts.routing_state.declarations
        account: RouteAccount | None = declarations.accounts.get(name) if declarations else None
        if account is None or account.total_tokens is None:
            return 0
        return account.total_tokens

    def request(self, address: str) -> DrawRequest:
        """Return a request without reports to an allocator."""
        declarations = self.parts.routing_state.declarations
        version = declarations.version if declarations else 0
        return DrawRequest(
            lifetime=self.parts.incarnation,
            version=version,
            keeper=self._incarnations.get(address, ''),
        )

    def groups_of(self, address: str) -> list[int]:
        """Return the groups that an allocator should own."""
        ranked = self.parts.choice.ranked
        return [number for number in range(GROUPS) if ranked(number)[0] == address]

    def report(self, name: str, address: str) -> DrawWord:
        """Return the report on an account to an allocator."""
        incarnation = self._incarnations.get(address, '')
        return self.pool(name).report(name, incarnation, self.total(name))

    def should_report(self, name: str, address: str) -> bool:
        """Tell whether an allocator has not been told the current state of an account."""
        incarnation = self._incarnations.get(address, '')
        usable = self.parts.choice.usable(address)
        return usable and self.pool(name).has_news(incarnation, self.total(name))

    def holds_of(self, address: str) -> bool:
        """Tell whether unspent tokens are held of the allocator at an address."""
        incarnation = self._incarnations.get(address, '')
        return any(
            pool.balance.granted > pool.balance.spent and incarnation in pool.allocations
            for pool in self.pools.values()
        )

    def claims(self, address: str) -> list[Claim]:
        """Return what is held of the ended incarnations that an allocator asked about."""
        return [self._claim(incarnation) for incarnation in self._claims_requested.get(address, ())]

    async def ask(self, address: str, request: DrawRequest, most_s: float) -> DrawReply | None:
        """Make one call and apply its reply; its time limit grows up to ``most_s``."""
        limit_s = self.limit_s(address, most_s)
        try:
            return await self.call(address, request, limit_s)
        except (FleetError, TimeoutError) as error:
            self.no_reply(address, str(error))
            return None

    def limit_s(self, address: str, most_s: float) -> float:
        """Return the time limit of a call; ``most_s`` at most while this process is slow."""
        if address == self.parts.address:
            return math.inf
        return self.parts.peers.times.limit_s(address, CALL_S, most_s)

    def no_reply(self, address: str, reason: str) -> None:
        """Avoid an allocator that did not answer, unless this process or its link was slow."""
        own_delay = self.parts.peers.times.slow_elsewhere(address)
        sidecar_events.ALLOCATOR_SILENT.log(
            keeper=address, reason=reason, own_delay=own_delay, **self.parts.peers.times.dump()
        )
        if not own_delay:
            self.parts.choice.avoid(address)

    async def call(self, address: str, request: DrawRequest, limit_s: float) -> DrawReply | None:
        """Make one call and apply its reply; None for the reply of an ended incarnation.

        Raises ``FleetError`` or ``TimeoutError`` if there is no answer.
        """
        if address == self.parts.address:
            reply = await self.parts.own.draw(request)
        else:
            deadline_unix_s = self.parts.clock.now_s() + limit_s
            reply = await self.parts.peers.call(address, rpcs.DRAW, request, deadline_unix_s)
        if reply.lifetime in self._ended:
            return None
        self._apply(address, request, reply)
        return reply

    def _apply(self, address: str, request: DrawRequest, reply: DrawReply) -> None:
        self._incarnations[address] = reply.lifetime
        # Ignore later replies of ended incarnations: the claims that are now reported on their
        # tokens are final.
        self._ended.update(reply.ended)
        self._claims_requested[address] = tuple(reply.ended)
        if reply.leaving:
            self.parts.choice.avoid(address, LEAVING_S)
        for report, answer in zip(request.words, reply.answers, strict=True):
            pool = self.pool(answer.account)
            allocation = pool.add_drawn(reply.lifetime, address, answer.drawn)
            if request.keeper == reply.lifetime:
                allocation.reported = Reported(report.returned, report.spent, report.total)
            pool.queue.serve(self.parts.clock.now_s())

    async def _report_held(self, request: HeldRequest) -> HeldReply:
        """Report what is held of ended incarnations, and ignore their replies from now on."""
        self._ended.update(request.ended)
        claims = [self._claim(incarnation) for incarnation in request.ended]
        return HeldReply(lifetime=self.parts.incarnation, claims=claims)

    def _claim(self, incarnation: str) -> Claim:
        out = {name: pool.outstanding_of(incarnation) for name, pool in self.pools.items()}
        return Claim(keeper=incarnation, out=out)
