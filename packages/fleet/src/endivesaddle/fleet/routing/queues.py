"""Queues of requests waiting for a slot: bounded, fair between accounts, by priority.

Accounts are served by start-time fair queueing: each dispatch advances its account by the tokens
requested, and the least advanced account is served next.  An account that floods the router waits
behind its own requests.
"""

import math
from bisect import bisect_right
from collections import deque
from collections.abc import Iterator
from typing import Any, Generic, Protocol, TypeVar

import anyio

from endivesaddle.fleet.sentinels import Refusal


class QueuedRequest(Protocol):
    """What a queue knows of a request; a higher ``priority`` is served first."""

    @property
    def account(self) -> str:
        """The account whose fair share the request uses."""

    @property
    def priority(self) -> int:
        """The priority."""

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the prompt."""

    @property
    def max_tokens(self) -> int:
        """Maximum of output tokens."""


Request = TypeVar('Request', bound=QueuedRequest)
Chosen = TypeVar('Chosen')


class Waiting(Generic[Request, Chosen]):
    """A waiting request; ``outcome`` is set once, by ``decide``.

    Requests of one account and priority are served by ``order_unix_s``, equal ones as they came.
    """

    def __init__(
        self,
        routing_request: Request,
        exclude: frozenset[str],
        latest_unix_s: float,
        order_unix_s: float = math.inf,
    ) -> None:
        """Initialize without an outcome; a dispatch after ``latest_unix_s`` would be too late."""
        self.routing_request = routing_request
        self.exclude = exclude
        self.latest_unix_s = latest_unix_s
        self.order_unix_s = order_unix_s
        self.outcome: Chosen | Refusal | None = None
        self._decided = anyio.Event()

    def decide(self, outcome: Chosen | Refusal) -> None:
        """Set the outcome and wake the waiting task."""
        self.outcome = outcome
        self._decided.set()

    async def decided(self) -> None:
        """Wait until the outcome is set."""
        await self._decided.wait()


class FairShares:
    """How far each account exceeds its fair share, in tokens.

    An account is remembered only while it is ahead of the slowest waiting account.
    """

    def __init__(self) -> None:
        """Initialize with all accounts equal."""
        self._level = 0.0
        self._excess_tokens: dict[str, float] = {}

    def start(self, account: str) -> float:
        """Return the start tag of the account's next request."""
        return max(self._level, self._excess_tokens.get(account, 0))

    def charge(self, account: str, tokens: int) -> None:
        """Advance an account by the tokens of one request."""
        start = self.start(account)
        self._excess_tokens[account] = start + tokens

    def raise_level(self, start: float) -> None:
        """Raise the minimum start tag of all accounts."""
        self._level = max(self._level, start)
        if self._excess_tokens and min(self._excess_tokens.values()) <= self._level:
            self._excess_tokens = {
                account: excess
                for account, excess in self._excess_tokens.items()
                if excess > self._level
            }


Entry = TypeVar('Entry', bound=Waiting[Any, Any])


class Queue(Generic[Entry]):
    """The waiting requests for one group of servers."""

    def __init__(self) -> None:
        """Initialize with no requests."""
        self.shares = FairShares()
        self._lines: dict[int, dict[str, deque[Entry]]] = {}
        self._counts: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(self._counts.values())

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over all waiting requests."""
        for lines in self._lines.values():
            for line in lines.values():
                yield from line

    def count(self, account: str) -> int:
        """Return the number of waiting requests of an account."""
        return self._counts.get(account, 0)

    def push(self, waiting: Entry) -> None:
        """Insert a request into the queue of its account."""
        account = waiting.routing_request.account
        lines = self._lines.setdefault(waiting.routing_request.priority, {})
        line = lines.setdefault(account, deque())
        line.insert(bisect_right(line, waiting.order_unix_s, key=_order_unix_s), waiting)
        self._counts[account] = self.count(account) + 1

    def remove(self, waiting: Entry) -> None:
        """Remove a request, which must be waiting."""
        account = waiting.routing_request.account
        priority = waiting.routing_request.priority
        line = self._lines[priority][account]
        line.remove(waiting)
        if not line:
            del self._lines[priority][account]
        if not self._lines[priority]:
            del self._lines[priority]
        self._counts[account] -= 1
        if not self._counts[account]:
            del self._counts[account]

    def take(self, waiting: Entry) -> None:
        """Remove a request that is placed, and charge its account."""
        routing_request = waiting.routing_request
        self.shares.raise_level(self.shares.start(routing_request.account))
        self.shares.charge(
            routing_request.account, routing_request.prompt_tokens + routing_request.max_tokens
        )
        self.remove(waiting)
        if not self._counts:
            self.shares = FairShares()

    def first(self) -> Entry:
        """Return the next request: highest priority, then the least advanced account.

        The queue must not be empty.
        """
        lines = self._lines[max(self._lines)]
        return lines[min(lines, key=self.shares.start)][0]

    def last(self) -> Entry | None:
        """Return the request to displace first: lowest priority, longest queue, newest request."""
        if not self._lines:
            return None
        lines = self._lines[min(self._lines)]
        return max(lines.values(), key=len)[-1]

    def ahead_of(self, routing_request: QueuedRequest, order_unix_s: float = math.inf) -> int:
        """Return the number of requests that are served before a new one.

        These are all requests of higher priority and, at its own priority, from each account at
        most as many as the new request's account has waiting before it, plus one.
        """
        higher = [
            lines for priority, lines in self._lines.items() if priority > routing_request.priority
        ]
        before = sum(len(line) for lines in higher for line in lines.values())
        own = self._lines.get(routing_request.priority, {})
        own_line = own.get(routing_request.account, deque())
        own_waiting = bisect_right(own_line, order_unix_s, key=_order_unix_s)
        others = sum(
            min(len(line), own_waiting + 1) for line in own.values() if line is not own_line
        )
        return before + own_waiting + others


def _order_unix_s(waiting: Waiting[Any, Any]) -> float:
    return waiting.order_unix_s
