"""What one request may cost at its worst, set aside until it is known."""

from endivesaddle.fleet.routes.grants import TokenBalance


class Reservation:
    """Tokens set aside for one request; ``settle`` ends it, once."""

    def __init__(self, balance: TokenBalance | None, tokens: int) -> None:
        """Hold ``tokens`` of ``balance``, nothing without one."""
        self._balance = balance
        self.tokens = tokens

    def settle(self, spent: int) -> None:
        """End the reservation with what the request really cost."""
        if self._balance is not None:
            self._balance.settle(self.tokens, spent)
            self._balance = None
