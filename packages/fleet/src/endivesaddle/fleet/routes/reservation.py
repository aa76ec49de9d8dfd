"""What one request may cost at its worst, set aside until it is known."""

from endivesaddle.fleet.routes.grants import Holding


class Reservation:
    """Tokens set aside for one request; ``settle`` ends it, once."""

    def __init__(self, holding: Holding | None, tokens: int) -> None:
        """Hold ``tokens`` of ``holding``, nothing without one."""
        self._holding = holding
        self.tokens = tokens

    def settle(self, spent: int) -> None:
        """End the reservation with what the request really cost."""
        if self._holding is not None:
            self._holding.settle(self.tokens, spent)
            self._holding = None
