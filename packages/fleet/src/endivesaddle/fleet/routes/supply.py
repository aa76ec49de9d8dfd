"""Decide how many tokens of a prepaid total a router holds, and how long requests wait for more.

Load pattern: a router with a slow link, or with far more requests than others; an account whose
requests are large or suddenly frequent.  A router that asks for tokens only when a request does
not fit refuses nearly all requests while its own calls take longer than a request waits.

Decisions only, no input or output; all amounts are tokens.
"""

import dataclasses
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from endivesaddle.fleet import settings
from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.routes.call_times import SLOW_S
from endivesaddle.fleet.routes.grants import (
    LOWER_ABOVE,
    MIN_CHANGE_TOKENS,
    MIN_RATE_WINDOW_S,
    RATE_WINDOW_S,
)

SUPPLY_S = 0.5
"""A router holds tokens for this many seconds of use; to get more it calls the allocator."""
CALLS_AHEAD = 4
"""With ``ahead``, also for the duration of this many calls.

Half of the tokens are left when a refill begins, so that a call may take twice as long as usual
during a burst."""
LARGEST_WINDOW_S = 10.0
"""The largest request within this time is held once more."""
STEP_S = 0.25
"""Requests within this time are counted together."""
REFILL_BELOW = 0.5
"""A refill begins when less than this share of the amount to hold is left."""
HELD_SHARE = 0.005
"""Most to hold while calls are fast, as a share of the total.

A router that is killed strands what it holds and what requests left since the last check: below
1%."""
RETURN_ABOVE = 1.25
"""With ``ahead``, tokens are returned when more than this many times the amount is available."""
SPARE_SHARE = 0.1
"""Most that all routers together hold for their largest requests, as a share of the total.

410 routers that each held the largest request would hold several times a total."""
SCARCE_S = 5.0
"""After an allocator had too few tokens, a router holds only what its calls take, for this long.

Near the end of a total, 21 routers held 400 tokens each that were too few for one request."""
CHECK_S = 1.0
"""Time between checks of the pools; spent tokens are reported to the allocators within it."""
CHECKS_PER_S = 5.0
"""Checks per second by all routers together: with many routers each checks less often."""
RETURN_S = 4.0
"""With ``ahead``, the longest time between checks: unused tokens are returned within 5 s.

An allocator counts the tokens of a router that has not called for 6 s as lost."""
MAX_WAIT_S = 3.0
"""A request waits at most this long for tokens."""
WAIT_SHARE = 0.5
"""A request waits for this share of its time; the rest is for the server and the response."""


class Use(NamedTuple):
    """The use of one account at this router.

    ``call_s`` is the recent duration of this router's calls; ``routers`` is the number of routers
    that share the total.  ``scarce`` tells that an allocator has just had too few tokens.
    """

    rate_per_s: float
    largest_tokens: int
    call_s: float
    total_tokens: int
    routers: int
    scarce: bool = False


class _Step(NamedTuple):
    """The requests of one account within ``STEP_S``."""

    began_unix_s: float
    tokens: int
    largest_tokens: int


class SupplyPolicy(Protocol):
    """How many tokens a router holds of one account."""

    prefetches: bool

    def hold(self, use: Use) -> int:
        """Return the amount to hold."""

    def surplus_above(self, hold: int) -> int:
        """Return the amount above which tokens are returned."""

    def check_s(self, routers: int) -> float:
        """Return the time between checks of the pools."""


supply_policies: Registry[Callable[[], SupplyPolicy]] = Registry('supply policy')


@supply_policies.add('on_demand')
class OnDemand:
    """Asks the allocator when a request does not fit; each router holds half a second of use."""

    prefetches = False

    def hold(self, use: Use) -> int:
        """Return the amount to hold."""
        return int(SUPPLY_S * use.rate_per_s)

    def surplus_above(self, hold: int) -> int:
        """Return the amount above which tokens are returned."""
        return int(LOWER_ABOVE * hold) + MIN_CHANGE_TOKENS

    def check_s(self, routers: int) -> float:
        """Return the time between checks of the pools."""
        return max(CHECK_S, routers / CHECKS_PER_S)


@supply_policies.add('ahead')
class Ahead:
    """Prefetches tokens before they run out, more of them the longer this router's calls take."""

    prefetches = True

    def hold(self, use: Use) -> int:
        """Return the amount to hold."""
        calls_s = CALLS_AHEAD * use.call_s
        if use.scarce:
            return int(use.rate_per_s * calls_s)
        spare = min(use.largest_tokens, SPARE_SHARE * use.total_tokens / max(1, use.routers))
        hold = use.rate_per_s * (SUPPLY_S + calls_s) + spare
        if use.call_s < SLOW_S:
            hold = min(hold, HELD_SHARE * use.total_tokens)
        return int(hold)

    def surplus_above(self, hold: int) -> int:
        """Return the amount above which tokens are returned; an idle account keeps none."""
        return int(RETURN_ABOVE * hold)

    def check_s(self, routers: int) -> float:
        """Return the time between checks of the pools."""
        return min(RETURN_S, max(CHECK_S, routers / CHECKS_PER_S))


@dataclasses.dataclass(frozen=True)
class SupplySettings:
    """How a router gets tokens of prepaid totals."""

    supply_policy: str = settings.option(
        'supply-policy',
        f'when a router asks for tokens of prepaid totals: {", ".join(supply_policies)}',
        'on_demand',
        settings.choice(*supply_policies),
    )


class Demand:
    """The requests of one account at this router, admitted or not, in steps of ``STEP_S``."""

    def __init__(self) -> None:
        """Initialize without requests."""
        self._steps: deque[_Step] = deque()
        self._began_unix_s = 0.0

    def record(self, tokens: int, now_unix_s: float) -> None:
        """Record a request."""
        self._expire(now_unix_s)
        if not self._steps:
            self._began_unix_s = now_unix_s
        if self._steps and now_unix_s < self._steps[-1].began_unix_s + STEP_S:
            last = self._steps.pop()
            step = _Step(last.began_unix_s, last.tokens + tokens, max(last.largest_tokens, tokens))
        else:
            step = _Step(now_unix_s, tokens, tokens)
        self._steps.append(step)

    def largest_tokens(self, now_unix_s: float) -> int:
        """Return the size of the largest request, 0 without requests."""
        self._expire(now_unix_s)
        return max((step.largest_tokens for step in self._steps), default=0)

    def rate_per_s(self, now_unix_s: float) -> float:
        """Return the tokens requested per second, the higher of the usual and the latest rate."""
        passed_s = min(RATE_WINDOW_S, now_unix_s - self._began_unix_s)
        usual = self._tokens_since(now_unix_s - RATE_WINDOW_S) / max(MIN_RATE_WINDOW_S, passed_s)
        return max(usual, self._tokens_since(now_unix_s - MIN_RATE_WINDOW_S) / MIN_RATE_WINDOW_S)

    def _tokens_since(self, oldest_unix_s: float) -> int:
        return sum(step.tokens for step in self._steps if step.began_unix_s >= oldest_unix_s)

    def _expire(self, now_unix_s: float) -> None:
        while self._steps and self._steps[0].began_unix_s < now_unix_s - LARGEST_WINDOW_S:
            self._steps.popleft()


def refill_tokens(hold: int, available: int) -> int:
    """Return the tokens to request for a refill, 0 while enough are available."""
    return hold - available if available < REFILL_BELOW * hold else 0


def wait_s(end_unix_s: float, now_unix_s: float) -> float:
    """Return how long a request that ends at ``end_unix_s`` waits for tokens."""
    return max(0, min(MAX_WAIT_S, WAIT_SHARE * (end_unix_s - now_unix_s)))
