"""What a router holds of each account, and from which lives of keepers it came."""

from collections.abc import Iterable
from typing import NamedTuple

import anyio

from endivesaddle.fleet.routes.grants import TokenBalance
from endivesaddle.wire.routers_pb2 import DrawWord


class Reported(NamedTuple):
    """What a keeper was told of an account, in tokens."""

    returned: int
    spent: int
    total: int


NOTHING_REPORTED = Reported(-1, -1, -1)


class Allocation:
    """What was drawn of one account from one life of a keeper, in tokens."""

    def __init__(self, address: str) -> None:
        """Start with nothing from the keeper at ``address``."""
        self.address = address
        self.drawn = 0
        self.returned = 0
        self.reported = NOTHING_REPORTED

    @property
    def out(self) -> int:
        """Tokens that were drawn and not given back."""
        return self.drawn - self.returned


class AccountPool:
    """What this router holds of one account, and of which keepers' lives."""

    def __init__(self, now_unix_s: float) -> None:
        """Start with nothing."""
        self.balance = TokenBalance(now_unix_s)
        self.drawn: dict[str, Allocation] = {}
        self.waiting = 0
        self.lock = anyio.Lock()

    def draw_from(self, lifetime: str, address: str) -> Allocation:
        """Return what was drawn from one life of a keeper."""
        return self.drawn.setdefault(lifetime, Allocation(address))

    def spent_of(self, lifetime: str) -> int:
        """Return what was spent of one keeper's tokens: the oldest are spent first.

        It is for the keepers' reports alone: what routers hold is bounded by what was drawn and
        given back, whichever of it is said to be spent.
        """
        left = self.balance.spent
        for name, drawn in self.drawn.items():
            spent = min(left, drawn.out)
            if name == lifetime:
                return spent
            left -= spent
        return 0

    def out_of(self, lifetime: str) -> int:
        """Return what was drawn from one life of a keeper and not given back."""
        return self.drawn[lifetime].out if lifetime in self.drawn else 0

    def give_back(self, tokens: int, lives: Iterable[str]) -> None:
        """Set tokens aside to be given back to keepers that are there."""
        for lifetime in lives:
            drawn = self.drawn[lifetime]
            back = min(tokens, drawn.out - self.spent_of(lifetime))
            drawn.returned += back
            self.balance.granted -= back
            tokens -= back

    def tell(self, lifetime: str, total: int) -> Reported:
        """Return what one keeper should know now."""
        drawn = self.drawn[lifetime]
        return Reported(drawn.returned, self.spent_of(lifetime), total)

    def word(self, name: str, lifetime: str, total: int) -> DrawWord:
        """Return the word to one life of a keeper, which may be met for the first time."""
        if lifetime not in self.drawn:
            return DrawWord(account=name, total=total)
        reported = self.tell(lifetime, total)
        return DrawWord(
            account=name,
            seen=self.drawn[lifetime].drawn,
            returned=reported.returned,
            spent=reported.spent,
            total=total,
        )

    def news(self, lifetime: str, total: int) -> bool:
        """Tell whether one life of a keeper does not know all yet."""
        drawn = self.drawn.get(lifetime)
        return drawn is None or drawn.reported != self.tell(lifetime, total)

    def take_in(self, lifetime: str, address: str, drawn_tokens: int) -> Allocation:
        """Add what was drawn: the counter only grows, so that a late reply adds nothing twice."""
        drawn = self.draw_from(lifetime, address)
        fresh = max(0, drawn_tokens - drawn.drawn)
        drawn.drawn += fresh
        self.balance.granted += fresh
        return drawn
