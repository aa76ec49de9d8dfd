"""Own the grants of prepaid totals, and hand out parts of them to the routers that ask.

One instance owns the grants of a group of accounts for all routers, preferably a sidecar: callers
don't connect to it, and it keeps running while routers restart.  Tokens that routers hold remain
part of the allocator's grant.  Both sides report them by counters that only grow: what was drawn,
spent and given back.  A message that is lost or arrives twice thus neither strands nor duplicates
tokens.
"""

import anyio

from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes import events
from endivesaddle.fleet.routes.claim_collector import ClaimCollector
from endivesaddle.fleet.routes.grant_group import GROUPS, AllocatorContext, GrantGroup, group_of
from endivesaddle.fleet.routes.grants import REST_DIVISOR, Grant
from endivesaddle.fleet.routes.unreadable_values import UnreadableValues
from endivesaddle.wire import rpcs
from endivesaddle.wire.routers_pb2 import DrawAnswer, DrawReply, DrawRequest, DrawWord

GROW_TIMEOUT_S = 0.15
"""A router's call waits this long for a grant to grow; then the router is told to ask again.

A write takes 4 ms on a healthy store and 0.35 s on a slow one."""
OWNED_S = 3.0
"""If no router has asked for a group for this long, another instance owns it by now."""
ORPHAN_S = 6.0
"""The tokens of a router that has not asked for this long count as lost.

Routers ask every few seconds; one that was killed is back under another name by then."""


class _Drawn:
    """The tokens of one account that one router incarnation has drawn."""

    def __init__(self) -> None:
        """Initialize with nothing drawn."""
        self.given = 0
        self.returned = 0
        self.spent = 0

    @property
    def outstanding(self) -> int:
        """Tokens that the router holds, according to its reports."""
        return self.given - self.returned - self.spent

    def apply(self, report: DrawWord, grant: Grant) -> None:
        """Apply what the router gave back and spent; an older report has no effect."""
        returned = min(max(0, report.returned - self.returned), self.outstanding)
        self.returned += returned
        grant.settle(returned, 0)
        spent = min(max(0, report.spent - self.spent), self.outstanding)
        self.spent += spent
        grant.settle(spent, spent)


class Allocator:
    """All grants of one incarnation of an instance."""

    def __init__(self, context: AllocatorContext) -> None:
        """Initialize without grants."""
        self.leaving = False
        self._context = context
        unreadable = UnreadableValues()
        self._groups = [GrantGroup(number, context, unreadable) for number in range(GROUPS)]
        self._claim_collector = ClaimCollector(context, self._groups, unreadable)
        self._asked_unix_s: dict[int, float] = {}
        self._drawn: dict[str, dict[str, _Drawn]] = {}
        self._called_unix_s: dict[str, float] = {}

    def register(self, handlers: Handlers) -> None:
        """Register the handler of the routers' calls."""
        handlers.answer(rpcs.DRAW, self.draw)

    async def run(self) -> None:
        """Adjust the grants until cancelled."""
        async with anyio.create_task_group() as tasks:
            for group in self._groups:
                tasks.start_soon(group.run)
            tasks.start_soon(self._claim_collector.run)

    async def draw(self, request: DrawRequest) -> DrawReply:
        """Apply a router's reports, and give it the tokens it needs."""
        now_unix_s = self._context.clock.now_s()
        self._called_unix_s[request.lifetime] = now_unix_s
        for number in request.groups:
            self._asked_unix_s[number % GROUPS] = now_unix_s
            self._groups[number % GROUPS].routers.add(request.lifetime)
        self._claim(request)
        self._update_owned()
        answers = [await self._answer(request, report) for report in request.words]
        return DrawReply(
            lifetime=self._context.incarnation,
            answers=answers,
            leaving=self.leaving,
            ended={name for group in self._groups for name in group.ended()},
        )

    async def release(self) -> None:
        """Give back the tokens that no router holds, at a graceful stop.

        ``run`` gives back what becomes free later.  Without this each restart strands the
        allocator's headroom.
        """
        self.leaving = True
        self._update_owned()
        async with anyio.create_task_group() as tasks:
            for group in self._groups:
                if group.grants:
                    tasks.start_soon(group.attempt)

    def dump(self) -> dict[str, dict[str, float]]:
        """Return the grants by account, in tokens, for the operators' state dump."""
        return {
            name: {
                'granted_tokens': grant.granted,
                'spent_tokens': grant.spent,
                'routers_tokens': grant.reserved,
                'others_tokens': grant.others,
                'total_tokens': grant.total,
            }
            for group in self._groups
            for name, grant in group.grants.items()
        }

    def counters(self) -> dict[str, int]:
        """Return the number of writes, and of requests that joined one of another request."""
        intervals = [group.intervals for group in self._groups]
        return {
            'grant_writes': sum(one.written_count for one in intervals),
            'grant_requests_joined': sum(one.joined_count for one in intervals),
        }

    def _claim(self, request: DrawRequest) -> None:
        for claim in request.claims:
            for group in self._groups:
                group.claim(claim.keeper, request.lifetime, dict(claim.out))

    def _update_owned(self) -> None:
        latest_unix_s = self._context.clock.now_s() - OWNED_S
        for number, group in enumerate(self._groups):
            group.owned = not self.leaving and self._asked_unix_s.get(number, 0) > latest_unix_s

    async def _answer(self, request: DrawRequest, report: DrawWord) -> DrawAnswer:
        group = self._groups[group_of(report.account)]
        grant = group.grant(report.account)
        grant.apply_total(request.version, report.total)
        drawn = self._drawn.setdefault(request.lifetime, {}).setdefault(report.account, _Drawn())
        unseen = drawn.given
        if request.keeper == self._context.incarnation:
            drawn.apply(report, grant)
            unseen -= min(unseen, report.seen)
        state = DrawAnswer.READY
        if report.needed > unseen:
            group.routers.add(request.lifetime)
            state = await self._make_room(group, request.lifetime, report, unseen)
            if state == DrawAnswer.READY:
                given = self._part(grant, report, unseen)
                grant.reserve(given, self._context.clock.now_s())
                drawn.given += given
        return DrawAnswer(account=report.account, drawn=drawn.given, state=state)

    def _part(self, grant: Grant, report: DrawWord, unseen: int) -> int:
        """Return the tokens to give: enough for all waiting requests, and more unless near the end.

        ``unseen`` is the number of tokens given earlier that the router doesn't know of yet.
        """
        given = min(grant.available, max(report.needed, report.waiting) - unseen)
        more = min(report.wanted - unseen - given, (grant.available - given) // REST_DIVISOR)
        return given + max(0, more)

    async def _make_room(
        self, group: GrantGroup, router: str, report: DrawWord, unseen: int
    ) -> DrawAnswer.State:
        """Raise a grant until it covers what a router needs; return READY or why it doesn't.

        The router has to be on record first: if this incarnation ends, the next one asks all
        routers on record what they hold of it.
        """
        grant = group.grants[report.account]
        tokens = report.needed - unseen
        if grant.fits(tokens) and router in group.recorded_routers:
            return DrawAnswer.READY
        if self.leaving:
            return DrawAnswer.AWAY
        waiting = max(report.needed, report.waiting) - unseen
        grant.waiting += waiting
        growing = True
        try:
            with anyio.move_on_after(GROW_TIMEOUT_S):
                if not group.unavailable:
                    await group.attempt()
                growing = False
        finally:
            grant.waiting -= waiting
        if grant.fits(tokens) and router in group.recorded_routers:
            return DrawAnswer.READY
        return self._shortage(group, report.account, tokens, growing)

    def _shortage(
        self, group: GrantGroup, account: str, tokens: int, growing: bool
    ) -> DrawAnswer.State:
        grant = group.grants[account]
        state = DrawAnswer.HELD
        if growing:
            state = DrawAnswer.GROWING
        elif group.unavailable or group.failed:
            state = DrawAnswer.AWAY
        elif group.intervals.enabled and grant.free >= tokens:
            # Other requests took what the shared write added; the next one can add more.
            state = DrawAnswer.GROWING
        elif self._exhausted(group, account, tokens):
            state = DrawAnswer.EXHAUSTED
        events.GRANT_LACKING.log(
            account=account,
            state=DrawAnswer.State.Name(state),
            needed_tokens=tokens,
            granted_tokens=grant.granted,
            spent_tokens=grant.spent,
            routers_tokens=grant.reserved,
            others_tokens=grant.others,
            total_tokens=grant.total,
        )
        return state

    def _exhausted(self, group: GrantGroup, account: str, tokens: int) -> bool:
        """Tell whether an account's total certainly does not cover a request.

        Only the owner of the group knows what is left.  An allocator that is asked in its place
        sees the owner's unallocated tokens as spent, and would refuse callers for good.
        """
        grant = group.grants[account]
        if tokens > grant.total:
            return True
        return group.owned and grant.exhausted(tokens, self._orphaned(account))

    def _orphaned(self, account: str) -> int:
        latest_unix_s = self._context.clock.now_s() - ORPHAN_S
        return sum(
            drawn[account].outstanding
            for incarnation, drawn in self._drawn.items()
            if account in drawn and self._called_unix_s[incarnation] < latest_unix_s
        )
