"""One account under one epoch of a holder, in memory.

What may be spent grows only by a confirmed write of the holder's own (or a
direct transfer), and shrinks before a write that gives tokens back is sent.
"""

from typing import NamedTuple

_RATE_WEIGHT = 0.3


class Reservation(NamedTuple):
    """A reserved worst case; ``batch`` is the one that it was made in."""

    bound_tokens: int
    batch: int
    number: int = 0


class Ended(NamedTuple):
    """A settled reservation, kept so that a repeated report bills nothing."""

    billed_tokens: int
    batch: int
    at_unix_s: float


class DirectTransfer(NamedTuple):
    """A direct transfer that the store doesn't show yet; the other side and its epoch."""

    data_centre: str
    epoch: int
    tokens: int


class Waiter(NamedTuple):
    """A request that waits for headroom; ``number`` counts the account's reservations so far."""

    request_key: str
    bound_tokens: int
    number: int = 0


class PendingTransfers:
    """Direct transfers of one account that the store doesn't show yet.

    ``unanswered`` are questions without an answer; they are written as not received.
    ``acknowledged`` are given ones that a write of this holder has marked as seen, with what
    was received: the receiver may have removed them before the write was confirmed.
    """

    def __init__(self) -> None:
        """Start without any."""
        self.received: dict[str, DirectTransfer] = {}
        self.given: dict[str, DirectTransfer] = {}
        self.unanswered: dict[str, DirectTransfer] = {}
        self.acknowledged: dict[str, int] = {}
        self.asked_unix_s = 0.0
        self.gave_unix_s = 0.0

    @property
    def tokens(self) -> int:
        """Return what was taken less what was given."""
        received = sum(transfer.tokens for transfer in self.received.values())
        return received - sum(transfer.tokens for transfer in self.given.values())


class Ledger:
    """Reservations, settlements and the ceiling of one account."""

    def __init__(self) -> None:
        """Start with nothing granted."""
        self.stored = 0
        self.yielding = 0
        self.settled = 0
        self.reserved = 0
        self.open: dict[str, Reservation] = {}
        self.ended: dict[str, Ended] = {}
        self.pending = PendingTransfers()
        self.offering = 0
        self.folding = 0
        self.queue: list[Waiter] = []
        self.number = 0
        self.refused: dict[str, int] = {}
        self.rate_tokens_per_s = 0.0
        self.used_unix_s = 0.0
        self._used_by_batch: dict[int, int] = {}
        self._closed = 0
        self._since_measured = 0

    @property
    def ceiling(self) -> int:
        """What may be spent at most under this epoch."""
        return self.stored - self.yielding + self.pending.tokens

    @property
    def headroom(self) -> int:
        """What a further reservation may take."""
        return self.ceiling - self.settled - self.reserved

    @property
    def queued_tokens(self) -> int:
        """Return what all waiting requests ask for."""
        return sum(waiter.bound_tokens for waiter in self.queue)

    def reserve(self, request_key: str, bound_tokens: int, batch: int) -> bool:
        """Reserve a worst case if it fits."""
        if bound_tokens > self.headroom:
            return False
        self.number += 1
        self.open[request_key] = Reservation(bound_tokens, batch, self.number)
        self.ended.pop(request_key, None)
        self.reserved += bound_tokens
        return True

    def since(self, waiter: Waiter) -> int:
        """Return the open reservations that were made after a waiter came, in tokens."""
        return sum(
            reservation.bound_tokens
            for reservation in self.open.values()
            if reservation.number > waiter.number
        )

    def settle(self, request_key: str, used_tokens: int, now_unix_s: float) -> int | None:
        """Bill an open reservation once; return what is billed, None when unknown.

        More than the reservation is never billed: the ceiling was checked against
        the reservation, so a larger bill could exceed it.
        """
        reservation = self.open.pop(request_key, None)
        if reservation is None:
            ended = self.ended.get(request_key)
            return None if ended is None else ended.billed_tokens
        billed = max(0, min(used_tokens, reservation.bound_tokens))
        self.reserved -= reservation.bound_tokens
        self.settled += billed
        self._since_measured += billed
        batch = reservation.batch
        self._used_by_batch[batch] = self._used_by_batch.get(batch, 0) + billed
        self.ended[request_key] = Ended(billed, batch, now_unix_s)
        return billed

    def checkpoint(self, batch: int) -> tuple[int, int]:
        """Return the settled tokens of all batches before one, and that one.

        It is the first batch with an open reservation, or ``batch``, the current one.
        """
        first = min((entry.batch for entry in self.open.values()), default=batch)
        for closed in [known for known in self._used_by_batch if known < first]:
            self._closed += self._used_by_batch.pop(closed)
        return self._closed, first

    def folded(self) -> None:
        """Start anew after the settled tokens were added to the account's spent ones."""
        self.settled -= self.folding
        self._closed -= self.folding
        self.folding = 0

    @property
    def is_done(self) -> bool:
        """Tell whether nothing is reserved, waiting or under way."""
        pending = self.pending
        moving = pending.received or pending.given or pending.unanswered
        return not (self.open or self.queue or moving or self._used_by_batch)

    def measure(self, elapsed_s: float) -> None:
        """Update the rate of spending over the time since the last call."""
        rate = self._since_measured / elapsed_s
        self._since_measured = 0
        self.rate_tokens_per_s += _RATE_WEIGHT * (rate - self.rate_tokens_per_s)

    def forget(self, before_unix_s: float, first_batch: int) -> None:
        """Forget settled requests that are old and counted in the store."""
        old = [
            request_key
            for request_key, ended in self.ended.items()
            if ended.at_unix_s < before_unix_s and ended.batch < first_batch
        ]
        for request_key in old:
            self.ended.pop(request_key)
