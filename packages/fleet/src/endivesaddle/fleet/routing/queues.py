"""Requests that wait in a router for a slot: bounded, fair between accounts, by priority.

Accounts are served by start-time fair queueing: each dispatch moves its account
ahead by the tokens that it asked for, and the account that is least ahead goes
next.  So an account that floods the router waits behind its own requests.
"""

from collections import deque
from collections.abc import Iterator

import anyio

from endivesaddle.fleet.interfaces import Choice, RoutingRequest
from endivesaddle.fleet.sentinels import Refusal


class Waiting:
    """One request that waits; ``outcome`` is set once, with ``decided``."""

    def __init__(
        self, routing_request: RoutingRequest, exclude: frozenset[str], latest_unix_s: float
    ) -> None:
        """Wait for a dispatch that still makes sense until ``latest_unix_s``."""
        self.routing_request = routing_request
        self.exclude = exclude
        self.latest_unix_s = latest_unix_s
        self.outcome: Choice | Refusal | None = None
        self._decided = anyio.Event()

    def decide(self, outcome: Choice | Refusal) -> None:
        """Tell the outcome."""
        self.outcome = outcome
        self._decided.set()

    async def decided(self) -> None:
        """Wait until there is an outcome."""
        await self._decided.wait()


class Shares:
    """How far each account is ahead of its fair share, in tokens.

    An account is remembered only while it is ahead of the slowest that waits.
    """

    def __init__(self) -> None:
        """Start with everyone level."""
        self._level = 0.0
        self._ahead: dict[str, float] = {}

    def start(self, account: str) -> float:
        """Return where the account's next request starts."""
        return max(self._level, self._ahead.get(account, 0))

    def charge(self, account: str, tokens: int) -> None:
        """Move an account ahead by the tokens of one request."""
        start = self.start(account)
        self._ahead[account] = start + tokens

    def level(self, start: float) -> None:
        """Raise the level that no account is behind."""
        self._level = max(self._level, start)
        if self._ahead and min(self._ahead.values()) <= self._level:
            self._ahead = {
                account: ahead for account, ahead in self._ahead.items() if ahead > self._level
            }


class Queue:
    """The waiting requests of one group of servers."""

    def __init__(self) -> None:
        """Start empty."""
        self.shares = Shares()
        self._lines: dict[int, dict[str, deque[Waiting]]] = {}
        self._counts: dict[str, int] = {}

    def __len__(self) -> int:
        """Count the waiting requests."""
        return sum(self._counts.values())

    def __iter__(self) -> Iterator[Waiting]:
        """Iterate over all waiting requests."""
        for lines in self._lines.values():
            for line in lines.values():
                yield from line

    def count(self, account: str) -> int:
        """Count the waiting requests of an account."""
        return self._counts.get(account, 0)

    def push(self, waiting: Waiting) -> None:
        """Append a request to its account's line."""
        account = waiting.routing_request.account
        lines = self._lines.setdefault(waiting.routing_request.priority, {})
        lines.setdefault(account, deque()).append(waiting)
        self._counts[account] = self.count(account) + 1

    def remove(self, waiting: Waiting) -> None:
        """Take a request out; it must be waiting."""
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

    def take(self, waiting: Waiting) -> None:
        """Take a request out because it is placed, and charge its account."""
        routing_request = waiting.routing_request
        self.shares.level(self.shares.start(routing_request.account))
        self.shares.charge(
            routing_request.account, routing_request.prompt_tokens + routing_request.max_tokens
        )
        self.remove(waiting)
        if not self._counts:
            self.shares = Shares()

    def first(self) -> Waiting:
        """Return who goes next: highest priority, then the account that is least ahead.

        The queue must not be empty.
        """
        lines = self._lines[max(self._lines)]
        return lines[min(lines, key=self.shares.start)][0]

    def last(self) -> Waiting | None:
        """Return who yields first: lowest priority, the longest line, its newest."""
        if not self._lines:
            return None
        lines = self._lines[min(self._lines)]
        return max(lines.values(), key=len)[-1]

    def ahead_of(self, routing_request: RoutingRequest) -> int:
        """Return how many are served before a newcomer.

        Of higher priorities all; of its own priority, from each account at
        most as many as the newcomer's account has waiting.
        """
        higher = [
            lines for priority, lines in self._lines.items() if priority > routing_request.priority
        ]
        before = sum(len(line) for lines in higher for line in lines.values())
        own = self._lines.get(routing_request.priority, {})
        mine = len(own.get(routing_request.account, ()))
        return before + sum(min(len(line), mine + 1) for line in own.values())
