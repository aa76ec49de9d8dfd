"""The in-memory state of one account under one epoch of a holder.

The ceiling grows only after a confirmed write by the holder itself or a direct transfer.
It shrinks before a write that returns tokens is sent.
"""

from typing import NamedTuple

_RATE_WEIGHT = 0.3


class Reservation(NamedTuple):
    """An open reservation of a request's worst case, made in ``batch``."""

    bound_tokens: int
    batch: int
    number: int = 0


class Ended(NamedTuple):
    """A settled reservation, kept so that a repeated report is not billed again."""

    billed_tokens: int
    batch: int
    at_unix_s: float


class DirectTransfer(NamedTuple):
    """A direct transfer not recorded in the store yet, with the other holder and its epoch."""

    data_centre: str
    epoch: int
    tokens: int


class Waiter(NamedTuple):
    """A request that waits for headroom; ``number`` is the reservation count on its arrival."""

    request_key: str
    bound_tokens: int
    number: int = 0


class PendingTransfers:
    """Direct transfers of one account that are not recorded in the store yet.

    ``unanswered`` are requests without a reply; they are recorded as not received.
    ``acknowledged`` are given transfers that a write of this holder has acknowledged, with
    the received tokens: the receiver may remove them before that write is confirmed.
    """

    def __init__(self) -> None:
        """Initialize with no transfers."""
        self.received: dict[str, DirectTransfer] = {}
        self.given: dict[str, DirectTransfer] = {}
        self.unanswered: dict[str, DirectTransfer] = {}
        self.acknowledged: dict[str, int] = {}
        self.asked_unix_s = 0.0
        self.gave_unix_s = 0.0

    @property
    def tokens(self) -> int:
        """The received tokens minus the given ones."""
        received = sum(transfer.tokens for transfer in self.received.values())
        return received - sum(transfer.tokens for transfer in self.given.values())


class Ledger:
    """Reservations, settlements and the ceiling of one account."""

    def __init__(self) -> None:
        """Initialize with no tokens granted."""
        self.granted = 0
        self.returning = 0
        self.settled = 0
        self.reserved = 0
        self.open: dict[str, Reservation] = {}
        self.ended: dict[str, Ended] = {}
        self.pending = PendingTransfers()
        self.offered = 0
        self.folding = 0
        self.queue: list[Waiter] = []
        self.number = 0
        self.refused: dict[str, int] = {}
        self.rate_tokens_per_s = 0.0
        self.used_unix_s = 0.0
        self._used_by_batch: dict[int, int] = {}
        self._settled_in_closed_batches = 0
        self._settled_since_update = 0

    @property
    def ceiling(self) -> int:
        """The maximum number of tokens that may be spent under this epoch."""
        return self.granted - self.returning + self.pending.tokens

    @property
    def headroom(self) -> int:
        """The tokens available for further reservations."""
        return self.ceiling - self.settled - self.reserved

    @property
    def queued_tokens(self) -> int:
        """The tokens that all waiting requests need together."""
        return sum(waiter.bound_tokens for waiter in self.queue)

    def reserve(self, request_key: str, bound_tokens: int, batch: int) -> bool:
        """Reserve the worst case of a request; return False if it exceeds the headroom."""
        if bound_tokens > self.headroom:
            return False
        self.number += 1
        self.open[request_key] = Reservation(bound_tokens, batch, self.number)
        self.ended.pop(request_key, None)
        self.reserved += bound_tokens
        return True

    def reserved_after(self, waiter: Waiter) -> int:
        """Return the tokens of open reservations made after the arrival of a waiting request."""
        return sum(
            reservation.bound_tokens
            for reservation in self.open.values()
            if reservation.number > waiter.number
        )

    def settle(self, request_key: str, used_tokens: int, now_unix_s: float) -> int | None:
        """Bill an open reservation once; return the billed tokens, or None if unknown.

        The bill never exceeds the reservation: the ceiling was checked against the
        reservation, so a larger bill could exceed the ceiling.
        """
        reservation = self.open.pop(request_key, None)
        if reservation is None:
            ended = self.ended.get(request_key)
            return None if ended is None else ended.billed_tokens
        billed = max(0, min(used_tokens, reservation.bound_tokens))
        self.reserved -= reservation.bound_tokens
        self.settled += billed
        self._settled_since_update += billed
        batch = reservation.batch
        self._used_by_batch[batch] = self._used_by_batch.get(batch, 0) + billed
        self.ended[request_key] = Ended(billed, batch, now_unix_s)
        return billed

    def checkpoint(self, batch: int) -> tuple[int, int]:
        """Return the settled tokens of all batches before the first open one, and its number.

        The first open batch is the first with an open reservation, else the current ``batch``.
        """
        first = min((entry.batch for entry in self.open.values()), default=batch)
        for closed in [other for other in self._used_by_batch if other < first]:
            self._settled_in_closed_batches += self._used_by_batch.pop(closed)
        return self._settled_in_closed_batches, first

    def confirm_fold(self) -> None:
        """Drop the settled tokens that were added to the account's spent tokens."""
        self.settled -= self.folding
        self._settled_in_closed_batches -= self.folding
        self.folding = 0

    @property
    def is_done(self) -> bool:
        """Whether there are no reservations, waiting requests or pending transfers."""
        pending = self.pending
        transfers = pending.received or pending.given or pending.unanswered
        return not (self.open or self.queue or transfers or self._used_by_batch)

    def update_rate(self, elapsed_s: float) -> None:
        """Update the spending rate from the tokens settled in the last ``elapsed_s`` seconds."""
        rate = self._settled_since_update / elapsed_s
        self._settled_since_update = 0
        self.rate_tokens_per_s += _RATE_WEIGHT * (rate - self.rate_tokens_per_s)

    def drop_settled(self, before_unix_s: float, first_batch: int) -> None:
        """Drop settled requests that are old and already counted in the store."""
        old = [
            request_key
            for request_key, ended in self.ended.items()
            if ended.at_unix_s < before_unix_s and ended.batch < first_batch
        ]
        for request_key in old:
            self.ended.pop(request_key)
