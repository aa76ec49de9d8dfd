"""A router's tokens of each account, and the allocators' incarnations they came from."""

from collections.abc import Iterable
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes.grants import TokenBalance
from endivesaddle.fleet.routes.supply import Demand
from endivesaddle.fleet.routes.token_queue import TokenQueue
from endivesaddle.wire.routers_pb2 import DrawWord


class Reported(NamedTuple):
    """What an allocator was last told of an account, in tokens."""

    returned: int
    spent: int
    total: int


NOTHING_REPORTED = Reported(-1, -1, -1)


class Allocation:
    """Tokens of one account that were drawn from one incarnation of an allocator."""

    def __init__(self, address: str) -> None:
        """Initialize with nothing drawn from the allocator at ``address``."""
        self.address = address
        self.drawn = 0
        self.returned = 0
        self.reported = NOTHING_REPORTED

    @property
    def outstanding(self) -> int:
        """Tokens that were drawn and not given back."""
        return self.drawn - self.returned


class AccountPool:
    """This router's tokens of one account, with an allocation from each allocator incarnation."""

    def __init__(self, clock: Clock) -> None:
        """Initialize with no tokens."""
        self.balance = TokenBalance(clock.now_s())
        self.allocations: dict[str, Allocation] = {}
        self.demand = Demand()
        self.queue = TokenQueue(self.balance)
        self.hold_tokens = 0
        self.scarce_until_unix_s = 0.0
        self.waiting = 0
        self.lock = anyio.Lock()
        self._clock = clock

    def settle(self, reserved: int, spent: int) -> None:
        """End a reservation; requests that wait use the tokens that it leaves."""
        self.balance.settle(reserved, spent)
        if self.queue:
            self.queue.serve(self._clock.now_s())

    def allocation(self, incarnation: str, address: str) -> Allocation:
        """Return the allocation from one incarnation of an allocator, a new one if needed."""
        return self.allocations.setdefault(incarnation, Allocation(address))

    def spent_of(self, incarnation: str) -> int:
        """Return the tokens spent from one allocation; the oldest allocations are spent first.

        This is only for the reports to allocators: the tokens that a router holds are bounded by
        what it drew and gave back, whichever allocation is reported as spent.
        """
        left = self.balance.spent
        for name, allocation in self.allocations.items():
            spent = min(left, allocation.outstanding)
            if name == incarnation:
                return spent
            left -= spent
        return 0

    def outstanding_of(self, incarnation: str) -> int:
        """Return the tokens drawn from one incarnation of an allocator and not given back."""
        return self.allocations[incarnation].outstanding if incarnation in self.allocations else 0

    def give_back(self, tokens: int, incarnations: Iterable[str]) -> None:
        """Mark tokens to be given back to allocators that are still running."""
        for incarnation in incarnations:
            allocation = self.allocations[incarnation]
            back = min(tokens, allocation.outstanding - self.spent_of(incarnation))
            allocation.returned += back
            self.balance.granted -= back
            tokens -= back

    def current(self, incarnation: str, total: int) -> Reported:
        """Return what one incarnation of an allocator should be told now."""
        allocation = self.allocations[incarnation]
        return Reported(allocation.returned, self.spent_of(incarnation), total)

    def report(self, name: str, incarnation: str, total: int) -> DrawWord:
        """Return the report to one incarnation of an allocator, which may be a new one."""
        if incarnation not in self.allocations:
            return DrawWord(account=name, total=total)
        current = self.current(incarnation, total)
        return DrawWord(
            account=name,
            seen=self.allocations[incarnation].drawn,
            returned=current.returned,
            spent=current.spent,
            total=total,
        )

    def has_news(self, incarnation: str, total: int) -> bool:
        """Tell whether one incarnation of an allocator has not been told the current state."""
        allocation = self.allocations.get(incarnation)
        return allocation is None or allocation.reported != self.current(incarnation, total)

    def add_drawn(self, incarnation: str, address: str, drawn_tokens: int) -> Allocation:
        """Add drawn tokens; the counter only grows, so that a late reply adds nothing twice."""
        allocation = self.allocation(incarnation, address)
        fresh = max(0, drawn_tokens - allocation.drawn)
        allocation.drawn += fresh
        self.balance.granted += fresh
        return allocation
