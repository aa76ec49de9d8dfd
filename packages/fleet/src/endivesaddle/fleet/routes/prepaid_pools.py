"""One router's tokens of prepaid totals: drawn from allocators, reserved for requests, settled.

A router holds only what it uses within ``SUPPLY_S`` and asks the account's allocator for more when
needed, so that a router that is killed strands little.
"""

from collections import defaultdict
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import FleetError
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes import events, sidecar_events
from endivesaddle.fleet.routes.account_pool import AccountPool, Reported
from endivesaddle.fleet.routes.allocator import Allocator
from endivesaddle.fleet.routes.allocator_choice import LEAVING_S, AllocatorChoice
from endivesaddle.fleet.routes.call_times import TimedPeers
from endivesaddle.fleet.routes.declared import RouteAccount
from endivesaddle.fleet.routes.grant_group import GROUPS, group_of
from endivesaddle.fleet.routes.grants import LOWER_ABOVE, MIN_CHANGE_TOKENS
from endivesaddle.fleet.routes.reservation import Reservation
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal
from endivesaddle.wire import rpcs
from endivesaddle.wire.routers_pb2 import (
    Claim,
    DrawAnswer,
    DrawReply,
    DrawRequest,
    DrawWord,
    HeldReply,
    HeldRequest,
)

CHECK_S = 1.0
"""Time between checks of the pools; spent tokens are reported to the allocators within it."""
LEAVING_CHECK_S = 0.25
"""Time between checks in a router that stops."""
CHECKS_PER_S = 5.0
"""Checks per second by all routers together: with many routers each checks less often."""
SUPPLY_S = 0.5
"""A router holds tokens for this many seconds of use; to get more it calls the allocator."""
WAIT_S = 0.45
"""A request waits this long for tokens: a write to a slow store takes 0.35 s."""
CALL_S = 0.25
"""Time limit of a call.

An allocator answers within a few ms, or after waiting 0.15 s for the store.  While calls of this
process are slow, the limit grows accordingly, up to ``WAIT_S``."""
RETRY_AFTER_S = 1.0
"""Retry delay given to a caller whose request found no tokens."""

CALL_AGAIN = frozenset((DrawAnswer.READY, DrawAnswer.GROWING))
FINAL = frozenset((DrawAnswer.EXHAUSTED, DrawAnswer.HELD))
"""Answers of an allocator that reaches the store: asking another one gives nothing better."""

PAYMENT_REQUIRED = 402
UNAVAILABLE = 503


class PrepaidPoolsParts(NamedTuple):
    """What the pools depend on; ``own`` is the allocator in the same process."""

    incarnation: str
    address: str
    routing_state: RoutingState
    choice: AllocatorChoice
    own: Allocator
    peers: TimedPeers
    clock: Clock


class PrepaidPools:
    """The token pools of one incarnation of a router, by account."""

    def __init__(self, parts: PrepaidPoolsParts) -> None:
        """Initialize without pools."""
        self.routers = 1
        self.releasing = False
        self._parts = parts
        self._pools: dict[str, AccountPool] = {}
        self._incarnations: dict[str, str] = {}
        self._ended: set[str] = set()
        self._claims_requested: dict[str, tuple[str, ...]] = {}
        self._stopping = anyio.Event()

    def register(self, handlers: Handlers) -> None:
        """Register the handler for allocators that ask about their ended incarnations."""
        handlers.answer(rpcs.HELD, self._report_held)

    async def run(self) -> None:
        """Check the pools until cancelled."""
        while True:
            if self._parts.choice.loaded:
                await self.check()
            if self.releasing:
                await anyio.sleep(LEAVING_CHECK_S)
                continue
            with anyio.move_on_after(max(CHECK_S, self.routers / CHECKS_PER_S)):
                await self._stopping.wait()

    async def reserve(
        self, account: RouteAccount, tokens: int, request_id: str = ''
    ) -> Reservation | Refusal:
        """Reserve the worst case of a request, and draw tokens for it if needed.

        ``request_id`` is only logged.
        """
        if account.total_tokens is None or tokens <= 0:
            return Reservation(None, 0)
        pool = self._pool(account.name)
        state = DrawAnswer.AWAY
        if not pool.balance.fits(tokens):
            pool.waiting += tokens
            try:
                with anyio.move_on_after(WAIT_S):
                    state = await self._draw(pool, account, tokens)
            finally:
                pool.waiting -= tokens
        if pool.balance.fits(tokens):
            pool.balance.reserve(tokens, self._parts.clock.now_s())
            return Reservation(pool.balance, tokens)
        return self._refuse(account, tokens, request_id, state)

    async def check(self) -> None:
        """Report spent tokens to the allocators, and give back those not needed soon."""
        for name in self._prepaid():
            self._give_back(self._pool(name))
        requests = self._requests()
        async with anyio.create_task_group() as group:
            for address, request in requests.items():
                group.start_soon(self._ask, address, request)

    async def release(self) -> None:
        """Give back unused tokens at a graceful stop.

        ``run`` gives back what requests that end later leave unused.
        """
        self.releasing = True
        self._stopping.set()
        await self.check()

    def ready(self) -> bool:
        """Tell whether the declared accounts have been loaded."""
        return self._parts.routing_state.declarations is not None

    def dump(self) -> dict[str, dict[str, float]]:
        """Return the pools by account, in tokens, for the operators' state dump."""
        return {
            name: {
                'granted_tokens': pool.balance.granted,
                'spent_tokens': pool.balance.spent,
                'reserved_tokens': pool.balance.reserved,
            }
            for name, pool in self._pools.items()
        }

    async def _report_held(self, request: HeldRequest) -> HeldReply:
        """Report what is held of ended incarnations, and ignore their replies from now on."""
        self._ended.update(request.ended)
        claims = [self._claim(incarnation) for incarnation in request.ended]
        return HeldReply(lifetime=self._parts.incarnation, claims=claims)

    def _pool(self, name: str) -> AccountPool:
        pool = self._pools.get(name)
        if pool is None:
            pool = AccountPool(self._parts.clock.now_s())
            self._pools[name] = pool
        return pool

    def _prepaid(self) -> list[str]:
        """Return the names of the accounts with a prepaid total."""
        declarations = self._parts.routing_state.declarations
        accounts = declarations.accounts.values() if declarations else ()
        return [one.name for one in accounts if one.total_tokens is not None]

    def _needed_soon(self, pool: AccountPool) -> int:
        if self.releasing:
            return 0
        return int(SUPPLY_S * pool.balance.rate_per_s(self._parts.clock.now_s()))

    def _give_back(self, pool: AccountPool) -> None:
        needed_soon = self._needed_soon(pool)
        available = pool.balance.available - pool.waiting
        most = 0 if self.releasing else LOWER_ABOVE * needed_soon + MIN_CHANGE_TOKENS
        if available > most:
            present = set(self._incarnations.values())
            pool.give_back(
                available - needed_soon,
                [incarnation for incarnation in pool.allocations if incarnation in present],
            )

    def _requests(self) -> dict[str, DrawRequest]:
        """Return the request to each allocator: what changed, and the groups that it should own."""
        requests: dict[str, DrawRequest] = defaultdict(self._request)
        allocators = {number: self._first_allocator(number) for number in range(GROUPS)}
        for number, address in allocators.items():
            requests[address].groups.append(number)
        for name in self._prepaid():
            pool = self._pool(name)
            current = allocators[group_of(name)]
            addresses = {one.address for one in pool.allocations.values()} | {current}
            for address in addresses:
                if self._should_report(name, pool, address):
                    requests[address].words.append(self._report(name, pool, address))
        for address, request in requests.items():
            request.keeper = self._incarnations.get(address, '')
            request.claims.extend(self._claims(address))
        return requests

    def _claims(self, address: str) -> list[Claim]:
        """Return what is held of the ended incarnations that an allocator asked about."""
        return [self._claim(incarnation) for incarnation in self._claims_requested.get(address, ())]

    def _claim(self, incarnation: str) -> Claim:
        out = {name: pool.outstanding_of(incarnation) for name, pool in self._pools.items()}
        return Claim(keeper=incarnation, out=out)

    def _should_report(self, name: str, pool: AccountPool, address: str) -> bool:
        usable = self._parts.choice.usable(address)
        return usable and pool.has_news(self._incarnations.get(address, ''), self._total(name))

    def _first_allocator(self, group: int) -> str:
        return self._parts.choice.ranked(group)[0]

    def _request(self) -> DrawRequest:
        declarations = self._parts.routing_state.declarations
        version = declarations.version if declarations else 0
        return DrawRequest(lifetime=self._parts.incarnation, version=version)

    def _total(self, name: str) -> int:
        declarations = self._parts.routing_state.declarations
        account = declarations.accounts.get(name) if declarations else None
        if account is None or account.total_tokens is None:
            return 0
        return account.total_tokens

    def _report(self, name: str, pool: AccountPool, address: str) -> DrawWord:
        return pool.report(name, self._incarnations.get(address, ''), self._total(name))

    async def _draw(
        self, pool: AccountPool, account: RouteAccount, tokens: int
    ) -> DrawAnswer.State:
        """Draw what all waiting requests of an account need; return the last allocator's answer."""
        state: DrawAnswer.State = DrawAnswer.AWAY
        async with pool.lock:
            for address in self._parts.choice.ranked(group_of(account.name)):
                state = await self._draw_all(address, pool, account.name, tokens)
                if pool.balance.fits(tokens) or state in FINAL:
                    break
        return state

    async def _draw_all(
        self, address: str, pool: AccountPool, name: str, tokens: int
    ) -> DrawAnswer.State:
        """Ask one allocator until it has given enough or answers that it can't."""
        state: DrawAnswer.State = DrawAnswer.READY
        while state in CALL_AGAIN and not pool.balance.fits(tokens):
            state = await self._draw_from(address, pool, name, tokens)
        return state

    async def _draw_from(
        self, address: str, pool: AccountPool, name: str, tokens: int
    ) -> DrawAnswer.State:
        request = self._request()
        request.keeper = self._incarnations.get(address, '')
        report = self._report(name, pool, address)
        report.needed = tokens - pool.balance.available
        report.waiting = max(report.needed, pool.waiting - pool.balance.available)
        report.wanted = report.waiting + self._needed_soon(pool)
        request.words.append(report)
        # The tokens are for all waiting requests: a request whose own wait ends must not cancel
        # the call, or on a slow link no request would ever get an answer.
        with anyio.CancelScope(shield=True):
            reply = await self._ask(address, request)
        if reply is None:
            # An allocator that is still usable is asked again: only it can hand out its grant.
            usable = self._parts.choice.usable(address)
            return DrawAnswer.GROWING if usable else DrawAnswer.AWAY
        return reply.answers[0].state

    async def _ask(self, address: str, request: DrawRequest) -> DrawReply | None:
        try:
            reply = await self._call(address, request)
        except (FleetError, TimeoutError) as error:
            # If this process or its link caused the delay, there is no reason to avoid the
            # allocator.
            own_delay = self._parts.peers.times.slow_elsewhere(address)
            sidecar_events.ALLOCATOR_SILENT.log(
                keeper=address,
                reason=str(error),
                own_delay=own_delay,
                **self._parts.peers.times.dump(),
            )
            if not own_delay:
                self._parts.choice.avoid(address)
            return None
        if reply.lifetime in self._ended:
            return None
        self._apply(address, request, reply)
        return reply

    async def _call(self, address: str, request: DrawRequest) -> DrawReply:
        if address == self._parts.address:
            return await self._parts.own.draw(request)
        limit_s = self._parts.peers.times.limit_s(address, CALL_S, WAIT_S)
        deadline_unix_s = self._parts.clock.now_s() + limit_s
        return await self._parts.peers.call(address, rpcs.DRAW, request, deadline_unix_s)

    def _apply(self, address: str, request: DrawRequest, reply: DrawReply) -> None:
        self._incarnations[address] = reply.lifetime
        # Ignore later replies of ended incarnations: the claims that are now reported on their
        # tokens are final.
        self._ended.update(reply.ended)
        self._claims_requested[address] = tuple(reply.ended)
        if reply.leaving:
            self._parts.choice.avoid(address, LEAVING_S)
        for report, answer in zip(request.words, reply.answers, strict=True):
            pool = self._pool(answer.account)
            allocation = pool.add_drawn(reply.lifetime, address, answer.drawn)
            if request.keeper == reply.lifetime:
                allocation.reported = Reported(report.returned, report.spent, report.total)

    def _refuse(
        self, account: RouteAccount, tokens: int, request_id: str, state: DrawAnswer.State
    ) -> Refusal:
        pool = self._pool(account.name)
        events.GRANT_SHORT.log(
            request_id=request_id,
            account=account.name,
            keeper=self._first_allocator(group_of(account.name)),
            keeper_said=DrawAnswer.State.Name(state),
            needed_tokens=tokens,
            granted_tokens=pool.balance.granted,
            used_tokens=pool.balance.used,
            total_tokens=account.total_tokens,
        )
        if state == DrawAnswer.EXHAUSTED:
            reason = f'{tokens} tokens at most do not fit into what is left of the prepaid total'
            return Refusal('budget_exhausted', reason, NOT_RUN, PAYMENT_REQUIRED)
        reason = 'the part of the prepaid total that can be reached does not cover the request'
        return Refusal('budget_unreachable', reason, NOT_RUN, UNAVAILABLE, RETRY_AFTER_S)
