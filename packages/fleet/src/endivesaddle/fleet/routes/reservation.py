"""Tokens reserved for the worst case of a request until its cost is known."""

from typing import Protocol


class Settles(Protocol):
    """Where a reservation is settled."""

    def settle(self, reserved: int, spent: int) -> None:
        """End a reservation; spends no more tokens than were reserved."""


class Reservation:
    """Tokens reserved for one request; only the first call of ``settle`` counts."""

    def __init__(self, balance: Settles | None, tokens: int) -> None:
        """Hold ``tokens`` of ``balance``; without a balance, nothing is reserved."""
        self._balance = balance
        self.tokens = tokens

    def settle(self, spent: int) -> None:
        """End the reservation with the request's actual cost in tokens."""
        if self._balance is not None:
            self._balance.settle(self.tokens, spent)
            self._balance = None
