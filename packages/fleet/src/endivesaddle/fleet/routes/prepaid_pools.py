"""One router's tokens of prepaid totals: drawn from allocators, reserved for requests, settled.

A router holds only what it uses soon and asks the account's allocator for more, so that a router
that is killed strands little.
"""

import math

import anyio
import xxhash
from anyio.lowlevel import checkpoint_if_cancelled

from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes import events
from endivesaddle.fleet.routes.account_pool import AccountPool
from endivesaddle.fleet.routes.ahead_supply import CALL_AGAIN, FINAL, AheadSupply
from endivesaddle.fleet.routes.declared import RouteAccount
from endivesaddle.fleet.routes.draw_calls import DrawCalls, PrepaidPoolsParts
from endivesaddle.fleet.routes.grant_group import GROUPS, group_of
from endivesaddle.fleet.routes.reservation import Reservation
from endivesaddle.fleet.routes.supply import CHECK_S, CHECKS_PER_S, Use, supply_policies
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal
from endivesaddle.wire.routers_pb2 import DrawAnswer, DrawRequest

LEAVING_CHECK_S = 0.25
"""Time between checks in a router that stops."""
WAIT_S = 0.45
"""A request waits this long for tokens: a write to a slow store takes 0.35 s.

With ``on_demand``, it is also the longest time limit of a call."""
RETRY_AFTER_S = 1.0
"""Retry delay given to a caller whose request found no tokens."""

PAYMENT_REQUIRED = 402
UNAVAILABLE = 503

__all__ = ('PrepaidPools', 'PrepaidPoolsParts')


class PrepaidPools:
    """The token pools of one incarnation of a router, by account."""

    def __init__(self, parts: PrepaidPoolsParts) -> None:
        """Initialize without pools."""
        self.routers = 1
        self.releasing = False
        self._parts = parts
        self._calls = DrawCalls(parts)
        self._policy = supply_policies.find(parts.supply.supply_policy)()
        self._ahead = AheadSupply(self._calls, self._policy)
        self._turn_unix_s = 0.0
        # Routers that start together take their turns one after the other.
        self._phase = xxhash.xxh3_64_intdigest(parts.incarnation.encode()) / 2**64
        self._turn_share = self._phase
        self._stopping = anyio.Event()

    def register(self, handlers: Handlers) -> None:
        """Register the handler for allocators that ask about their ended incarnations."""
        self._calls.register(handlers)

    async def run(self) -> None:
        """Check the pools and draw ahead until cancelled."""
        async with anyio.create_task_group() as tasks:
            if self._policy.prefetches:
                self._ahead.start(tasks)
            await self._check_regularly()

    async def reserve(
        self,
        account: RouteAccount,
        tokens: int,
        request_id: str = '',
        end_unix_s: float = math.inf,
    ) -> Reservation | Refusal:
        """Reserve the worst case of a request, and draw tokens for it if needed.

        ``request_id`` is only logged; a request that ends at ``end_unix_s`` waits accordingly.
        """
        if account.total_tokens is None or tokens <= 0:
            return Reservation(None, 0)
        if self._policy.prefetches:
            failed = await self._ahead.reserve(account.name, tokens, end_unix_s)
        else:
            failed = await self._reserve_on_demand(account, tokens)
        if failed is None:
            return Reservation(self._calls.pool(account.name), tokens)
        return self._refuse(account, tokens, request_id, failed)

    async def check(self) -> None:
        """Report spent tokens to the allocators, and give back those not needed soon."""
        self._ahead.routers = self.routers
        for name in self._calls.prepaid():
            self._give_back(name)
        requests = self._requests()
        if self._policy.prefetches:
            await self._ahead.report(requests)
            return
        async with anyio.create_task_group() as group:
            for address, request in requests.items():
                group.start_soon(self._calls.ask, address, request, WAIT_S)

    async def release(self) -> None:
        """Give back unused tokens at a graceful stop.

        ``run`` gives back what requests that end later leave unused.
        """
        self.releasing = True
        self._ahead.stopping = True
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
                'hold_tokens': pool.hold_tokens,
                'waiting_tokens': pool.waiting + pool.queue.waiting_tokens,
            }
            for name, pool in self._calls.pools.items()
        }

    def counters(self) -> dict[str, int]:
        """Return the tokens in hand, and the numbers of refills, waits and late answers."""
        pools = self._calls.pools.values()
        counts = self._ahead.counts
        return {
            'supply_tokens_in_hand': sum(pool.balance.available for pool in pools),
            'supply_refills': counts['supply_refills'],
            'supply_waits': counts['supply_waits'],
            'supply_late': counts['supply_late'],
        }

    async def _check_regularly(self) -> None:
        share = self._phase if self._policy.prefetches else 1.0
        while True:
            if self._parts.choice.loaded:
                await self.check()
            if self.releasing:
                await anyio.sleep(LEAVING_CHECK_S)
                continue
            pause_s = self._policy.check_s(self.routers)
            with anyio.move_on_after(pause_s * share):
                await self._stopping.wait()
            share = 1.0

    async def _reserve_on_demand(
        self, account: RouteAccount, tokens: int
    ) -> DrawAnswer.State | None:
        """Reserve tokens, and draw them if they don't fit; return why it failed, or None."""
        pool = self._calls.pool(account.name)
        state: DrawAnswer.State = DrawAnswer.AWAY
        if not pool.balance.fits(tokens):
            pool.waiting += tokens
            try:
                with anyio.move_on_after(WAIT_S):
                    state = await self._draw(pool, account, tokens)
            finally:
                pool.waiting -= tokens
        if pool.balance.fits(tokens):
            pool.balance.reserve(tokens, self._parts.clock.now_s())
            return None
        return state

    def _needed_soon(self, name: str) -> int:
        if self.releasing:
            return 0
        if self._policy.prefetches:
            return self._ahead.hold(name)
        rate_per_s = self._calls.pool(name).balance.rate_per_s(self._parts.clock.now_s())
        return self._policy.hold(Use(rate_per_s, 0, 0, 0, self.routers))

    def _give_back(self, name: str) -> None:
        pool = self._calls.pool(name)
        needed_soon = self._needed_soon(name)
        available = pool.balance.available - pool.waiting - pool.queue.waiting_tokens
        most = 0 if self.releasing else self._policy.surplus_above(needed_soon)
        if available > most:
            self._calls.give_back(pool, available - needed_soon)

    def _requests(self) -> dict[str, DrawRequest]:
        """Return the request to each allocator: what changed, and the groups that it should own."""
        requests: dict[str, DrawRequest] = {}
        allocators = [self._parts.choice.ranked(number)[0] for number in range(GROUPS)]
        for number, address in enumerate(allocators):
            self._request(requests, address).groups.append(number)
        for name in self._calls.prepaid():
            pool = self._calls.pool(name)
            current = allocators[group_of(name)]
            addresses = {one.address for one in pool.allocations.values()} | {current}
            for address in addresses:
                if self._calls.should_report(name, address):
                    report = self._calls.report(name, address)
                    self._request(requests, address).words.append(report)
        for address, request in requests.items():
            request.claims.extend(self._calls.claims(address))
        return self._worth_a_call(requests)

    def _request(self, requests: dict[str, DrawRequest], address: str) -> DrawRequest:
        if address not in requests:
            requests[address] = self._calls.request(address)
        return requests[address]

    def _worth_a_call(self, requests: dict[str, DrawRequest]) -> dict[str, DrawRequest]:
        """Leave out calls that report nothing.

        A router that holds tokens calls all the same, since its allocator would count them as
        lost.  So does each router in turn, to keep the allocators in charge of their groups.
        """
        now_unix_s = self._parts.clock.now_s()
        if not self._policy.prefetches:
            return requests
        if now_unix_s >= self._turn_unix_s:
            turn_s = max(CHECK_S, self.routers / CHECKS_PER_S)
            self._turn_unix_s = now_unix_s + turn_s * self._turn_share
            self._turn_share = 1.0
            return requests
        return {
            address: request
            for address, request in requests.items()
            if request.words or request.claims or self._calls.holds_of(address)
        }

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
        request = self._calls.request(address)
        report = self._calls.report(name, address)
        report.needed = tokens - pool.balance.available
        report.waiting = max(report.needed, pool.waiting - pool.balance.available)
        report.wanted = report.waiting + self._needed_soon(name)
        request.words.append(report)
        # The tokens are for all waiting requests: a request whose own wait ends must not cancel
        # the call, or on a slow link no request would ever get an answer.
        with anyio.CancelScope(shield=True):
            reply = await self._calls.ask(address, request, WAIT_S)
        # The request itself ends here if its caller has left or its time is over: the next call
        # would be shielded again, and the draws would go on for as long as allocators answer.
        await checkpoint_if_cancelled()
        if reply is None:
            # An allocator that is still usable is asked again: only it can hand out its grant.
            usable = self._parts.choice.usable(address)
            return DrawAnswer.GROWING if usable else DrawAnswer.AWAY
        return reply.answers[0].state

    def _refuse(
        self, account: RouteAccount, tokens: int, request_id: str, state: DrawAnswer.State
    ) -> Refusal:
        pool = self._calls.pool(account.name)
        events.GRANT_SHORT.log(
            request_id=request_id,
            account=account.name,
            keeper=self._parts.choice.ranked(group_of(account.name))[0],
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
