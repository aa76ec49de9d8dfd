"""Requests of one account that wait for tokens: first come, first served."""

from collections import deque

import anyio

from endivesaddle.fleet.routes.grants import TokenBalance
from endivesaddle.wire.routers_pb2 import DrawAnswer


class Waiter:
    """One waiting request; ``ended`` is set when it is admitted or refused."""

    def __init__(self, tokens: int) -> None:
        """Wait for ``tokens``."""
        self.tokens = tokens
        self.state: DrawAnswer.State = DrawAnswer.AWAY
        self.ended = anyio.Event()
        self._admitted = False

    def admit(self) -> None:
        """Admit the request."""
        self._admitted = True

    def admitted(self) -> bool:
        """Tell whether the tokens are reserved."""
        return self._admitted


class TokenQueue:
    """The requests that wait for tokens of one balance."""

    def __init__(self, balance: TokenBalance) -> None:
        """Initialize without requests."""
        self.waiting_tokens = 0
        self._balance = balance
        self._waiters: deque[Waiter] = deque()

    def __bool__(self) -> bool:
        """Tell whether requests wait."""
        return bool(self._waiters)

    @property
    def first_tokens(self) -> int:
        """The tokens that the first request needs, 0 without requests."""
        return self._waiters[0].tokens if self._waiters else 0

    def add(self, tokens: int) -> Waiter:
        """Append a request."""
        waiter = Waiter(tokens)
        self._waiters.append(waiter)
        self.waiting_tokens += tokens
        return waiter

    def serve(self, now_unix_s: float) -> None:
        """Admit requests from the front while they fit."""
        while self._waiters and self._balance.fits(self._waiters[0].tokens):
            waiter = self._waiters[0]
            self._balance.reserve(waiter.tokens, now_unix_s)
            waiter.admit()
            self.remove(waiter)

    def refuse(self, tokens: int, state: DrawAnswer.State) -> None:
        """Refuse all requests for ``tokens`` or more: an allocator can't cover that many."""
        for waiter in [one for one in self._waiters if one.tokens >= tokens]:
            waiter.state = state
            self.remove(waiter)

    def note(self, state: DrawAnswer.State) -> None:
        """Keep an allocator's answer for the waiting requests, whose wait continues."""
        for waiter in self._waiters:
            waiter.state = state

    def remove(self, waiter: Waiter) -> None:
        """Remove a request; it may have been removed already."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            self.waiting_tokens -= waiter.tokens
            waiter.ended.set()
