"""Keep grants of prepaid totals, and hand parts of them to the routers that ask.

One instance keeps the grants of a group of accounts for all routers, a sidecar where there is
one: it is not met by callers and outlives the routers' restarts.  What routers hold stays
granted to the keeper; counters that only grow tell what they drew, spent and gave back, so
that a message that is lost or comes twice neither strands nor doubles tokens.
"""

import anyio

from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes import events
from endivesaddle.fleet.routes.claim_collector import ClaimCollector
from endivesaddle.fleet.routes.grant_group import GROUPS, AllocatorContext, GrantGroup, group_of
from endivesaddle.fleet.routes.grants import REST_DIVISOR, Grant
from endivesaddle.wire import rpcs
from endivesaddle.wire.routers_pb2 import DrawAnswer, DrawReply, DrawRequest, DrawWord

GROW_S = 0.15
"""A router's call waits so long for a grant to grow, and is then told to ask again.

A store that is well takes 4 ms for a write, a slow one 0.35 s."""
KEPT_S = 3.0
"""A group that no router asked for so long is kept by another instance by now."""
ORPHAN_S = 6.0
"""What a router holds that has not asked for so long counts as gone.

Routers ask every few seconds; one that was killed is back under another name by then."""


class _Drawn:
    """What one life of a router drew of one account, in tokens."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.given = 0
        self.returned = 0
        self.spent = 0

    @property
    def out(self) -> int:
        """Tokens that the router holds, as far as it told."""
        return self.given - self.returned - self.spent

    def take_in(self, word: DrawWord, grant: Grant) -> None:
        """Take in what the router gave back and spent; an older word changes nothing."""
        returned = min(max(0, word.returned - self.returned), self.out)
        self.returned += returned
        grant.settle(returned, 0)
        spent = min(max(0, word.spent - self.spent), self.out)
        self.spent += spent
        grant.settle(spent, spent)


class Allocator:
    """All grants of one life of an instance."""

    def __init__(self, life: AllocatorContext) -> None:
        """Hold grants under ``life``."""
        self.leaving = False
        self._life = life
        self._groups = [GrantGroup(number, life) for number in range(GROUPS)]
        self._claim_collector = ClaimCollector(life, self._groups)
        self._asked_unix_s: dict[int, float] = {}
        self._drawn: dict[str, dict[str, _Drawn]] = {}
        self._heard_unix_s: dict[str, float] = {}

    def register(self, handlers: Handlers) -> None:
        """Answer the routers' calls."""
        handlers.answer(rpcs.DRAW, self.draw)

    async def run(self) -> None:
        """Adjust the grants until cancelled."""
        async with anyio.create_task_group() as group:
            for one in self._groups:
                group.start_soon(one.run)
            group.start_soon(self._claim_collector.run)

    async def draw(self, asked: DrawRequest) -> DrawReply:
        """Take in what a router tells, and give it what it needs."""
        now_unix_s = self._life.clock.now_s()
        self._heard_unix_s[asked.lifetime] = now_unix_s
        for number in asked.groups:
            self._asked_unix_s[number % GROUPS] = now_unix_s
            self._groups[number % GROUPS].routers.add(asked.lifetime)
        self._claim(asked)
        self._look()
        answers = [await self._answer(asked, word) for word in asked.words]
        return DrawReply(
            lifetime=self._life.lifetime,
            answers=answers,
            leaving=self.leaving,
            ended={name for one in self._groups for name in one.ended()},
        )

    async def release(self) -> None:
        """Give back what no router holds, at a graceful stop; ``run`` gives back what follows.

        Without it each restart strands the keeper's headroom.
        """
        self.leaving = True
        self._look()
        async with anyio.create_task_group() as group:
            for one in self._groups:
                if one.grants:
                    group.start_soon(one.attempt)

    def dump(self) -> dict[str, dict[str, float]]:
        """Return the grants for operators."""
        return {
            name: {
                'granted_tokens': grant.granted,
                'spent_tokens': grant.spent,
                'routers_tokens': grant.reserved,
                'others_tokens': grant.others,
                'total_tokens': grant.total,
            }
            for one in self._groups
            for name, grant in one.grants.items()
        }

    def _claim(self, asked: DrawRequest) -> None:
        for claim in asked.claims:
            for one in self._groups:
                one.claim(claim.keeper, asked.lifetime, dict(claim.out))

    def _look(self) -> None:
        latest_unix_s = self._life.clock.now_s() - KEPT_S
        for number, one in enumerate(self._groups):
            one.wanted_here = not self.leaving and self._asked_unix_s.get(number, 0) > latest_unix_s

    async def _answer(self, asked: DrawRequest, word: DrawWord) -> DrawAnswer:
        group = self._groups[group_of(word.account)]
        grant = group.grant(word.account)
        grant.apply_total(asked.version, word.total)
        drawn = self._drawn.setdefault(asked.lifetime, {}).setdefault(word.account, _Drawn())
        unseen = drawn.given
        if asked.keeper == self._life.lifetime:
            drawn.take_in(word, grant)
            unseen -= min(unseen, word.seen)
        state = DrawAnswer.READY
        if word.needed > unseen:
            group.routers.add(asked.lifetime)
            state = await self._make_room(group, asked.lifetime, word, unseen)
            if state == DrawAnswer.READY:
                given = self._part(grant, word, unseen)
                grant.reserve(given, self._life.clock.now_s())
                drawn.given += given
        return DrawAnswer(account=word.account, drawn=drawn.given, state=state)

    def _part(self, grant: Grant, word: DrawWord, unseen: int) -> int:
        """Return what to give: for all that waits, and more but near the end of the total."""
        given = min(grant.available, max(word.needed, word.waiting) - unseen)
        more = min(word.wanted - unseen - given, (grant.available - given) // REST_DIVISOR)
        return given + max(0, more)

    async def _make_room(
        self, group: GrantGroup, router: str, word: DrawWord, unseen: int
    ) -> DrawAnswer.State:
        """Make a grant cover what a router needs; tell how that went.

        The router has to be on record first: if this life ends, the next one asks all on record
        what they hold of it.
        """
        grant = group.grants[word.account]
        tokens = word.needed - unseen
        if grant.fits(tokens) and router in group.named:
            return DrawAnswer.READY
        if self.leaving:
            return DrawAnswer.AWAY
        waiting = max(word.needed, word.waiting) - unseen
        grant.waiting += waiting
        growing = True
        try:
            with anyio.move_on_after(GROW_S):
                if not group.away:
                    await group.attempt()
                growing = False
        finally:
            grant.waiting -= waiting
        if grant.fits(tokens) and router in group.named:
            return DrawAnswer.READY
        return self._short(group, word.account, tokens, growing)

    def _short(
        self, group: GrantGroup, account: str, tokens: int, growing: bool
    ) -> DrawAnswer.State:
        grant = group.grants[account]
        state = DrawAnswer.HELD
        if growing:
            state = DrawAnswer.GROWING
        elif group.away or group.failed:
            state = DrawAnswer.AWAY
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
        """Tell whether it is certain that an account's total does not cover a request.

        Only the group's own keeper knows what is left: asked in its place, another one takes for
        spent what that one has not given to anybody, and would send callers away for good.
        """
        grant = group.grants[account]
        if tokens > grant.total:
            return True
        return group.wanted_here and grant.exhausted(tokens, self._orphaned(account))

    def _orphaned(self, account: str) -> int:
        latest_unix_s = self._life.clock.now_s() - ORPHAN_S
        return sum(
            drawn[account].out
            for lifetime, drawn in self._drawn.items()
            if account in drawn and self._heard_unix_s[lifetime] < latest_unix_s
        )
