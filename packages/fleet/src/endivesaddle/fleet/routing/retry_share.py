"""One router's share of the retries allowed for a service, without coordination.

Load pattern: servers refuse or lose most requests, so that every request asks for retries, while
routers are killed, start, are cut off and get other traffic.  In any window, all routers together
may send ``ratio`` times the requests of the service and ``slack`` more.  Requests are counted in
that window, the one before it, or the one half a window before it, whichever has most.  A router
knows its own requests alone, and not which window another one's retry falls into.

A retry is paid from three parts, each of which keeps its bound whatever the other routers do:

- fresh: ``FRESH`` of the requests of the last half window, each of which pays once.  Of the retries
  in a window, those that earlier requests paid for are at most ``FRESH_AHEAD`` of this part.
- carried: ``CARRIED`` of the requests of the window before.  A retry of now counts in windows that
  begin up to a window ago; of the windows before all of these the smallest counts.
- slack: an equal share, see ``slack_share``.

The first two need no agreement, since they count the requests of one process each: a router that
starts begins with none.  ``FRESH * (1 + FRESH_AHEAD) + CARRIED`` is 1.
"""

from typing import Any, NamedTuple

from endivesaddle.fleet.routing.slack_share import SlackShare
from endivesaddle.fleet.routing.sliding_counts import BUCKETS, SlidingCounts

FRESH = 0.2
FRESH_AHEAD = 0.5
CARRIED = 0.7
FRESH_BUCKETS = BUCKETS // 2
WINDOW_BUCKETS = BUCKETS - 3
"""Buckets of a window in which requests are counted: it has at least so many whole ones, also if a
request was sent up to half a second before it was read."""
SPENT_BUCKETS = BUCKETS + 2
"""Buckets for which a retry counts: a retry may arrive half a second after it was sent."""
TOLERANCE = 1e-6
"""Rounding errors of sums."""


class RetryBudget(NamedTuple):
    """The retries that all routers together may send to each service."""

    ratio: float
    slack: float
    window_s: float


class Payment(NamedTuple):
    """What one retry took of each part; ``fresh`` names the buckets of the requests that paid."""

    bucket: int
    fresh: tuple[tuple[int, float], ...]
    carried: float
    slack: float


class RetryDecision(NamedTuple):
    """Whether a retry is granted, and what decided it.

    ``requests`` and ``retries`` are those of this router within the window before the retry;
    ``fresh``, ``carried`` and ``slack`` what was left of each part.  The slack is shared by
    ``routers``, by a list of the fleet that is ``view_age_s`` old; 0 if this router has no share.
    The router has counted requests for ``counted_s``.  ``payment`` is None if the retry is refused.
    """

    payment: Payment | None
    service: str
    requests: float
    retries: float
    fresh: float
    carried: float
    slack: float
    routers: int
    view_age_s: float
    counted_s: float

    @property
    def granted(self) -> bool:
        """Whether the retry may be sent."""
        return self.payment is not None

    def logged(self) -> dict[str, Any]:
        """Return what decided it as fields of a log line."""
        fields = self._asdict()
        fields.pop('payment')
        return {
            name: round(field, 2) if isinstance(field, float) else field
            for name, field in fields.items()
        }


class FreshPart:
    """The part that pays with recent requests, the most recent ones first."""

    def __init__(self, ratio: float, requests: SlidingCounts, window_s: float) -> None:
        """Pay from ``requests``, which the share counts."""
        self._ratio = ratio
        self._requests = requests
        self._used = SlidingCounts(window_s)
        self._ahead = SlidingCounts(window_s)

    def plan(self, now: int, most: float) -> tuple[tuple[int, float], ...]:
        """Return up to ``most`` of what is left, as amounts by the bucket of the requests."""
        first = now - FRESH_BUCKETS + 1
        before = self._requests.totals(WINDOW_BUCKETS, first - 1, now - 1)
        planned = []
        room = most
        for bucket in range(now, first - 1, -1):
            # Windows that begin in this bucket have the retry, and may not have the requests.
            ahead = self._ratio * FRESH * FRESH_AHEAD * before[bucket - first]
            room = min(room, ahead - self._ahead.at(bucket))
            earned = self._ratio * FRESH * self._requests.at(bucket) - self._used.at(bucket)
            amount = min(earned, room, most)
            if amount > 0:
                planned.append((bucket, amount))
                most -= amount
                room -= amount
        return tuple(planned)

    def charge(self, payment: Payment, sign: int) -> None:
        """Count a payment, or take it back with a ``sign`` of -1."""
        for bucket, amount in payment.fresh:
            self._used.add(bucket, sign * amount)
            for later in range(bucket, payment.bucket + 1):
                self._ahead.add(later, sign * amount)


class RetryShare:
    """The share of one service on one router."""

    def __init__(self, service: str, budget: RetryBudget) -> None:
        """Initialize with no requests."""
        self._service = service
        self._budget = budget
        self._first_unix_s = 0.0
        self._requests = SlidingCounts(budget.window_s)
        self._retries = SlidingCounts(budget.window_s)
        self._carried = SlidingCounts(budget.window_s)
        self._slack = SlidingCounts(budget.window_s)
        self._fresh = FreshPart(budget.ratio, self._requests, budget.window_s)

    def record_request(self, now_unix_s: float) -> None:
        """Count a caller's request for the service."""
        self._first_unix_s = self._first_unix_s or now_unix_s
        self._requests.add(self._requests.bucket(now_unix_s), 1)

    def decide(self, now_unix_s: float, slack: SlackShare) -> RetryDecision:
        """Grant a retry and count it, or refuse it if less than one is left."""
        now = self._requests.bucket(now_unix_s)
        routers = slack.routers(now_unix_s)
        slack_left = self._slack_left(now, routers)
        carried_left = self._carried_left(now)
        planned = self._fresh.plan(now, 1)
        fresh = sum(amount for _, amount in planned)
        payment = None
        if fresh + carried_left + slack_left >= 1 - TOLERANCE:
            carried = min(1 - fresh, carried_left)
            payment = Payment(now, planned, carried, 1 - fresh - carried)
            self._charge(payment, 1)
        return RetryDecision(
            payment,
            self._service,
            self._requests.total(now - BUCKETS, now),
            self._retries.total(now - BUCKETS, now),
            fresh,
            carried_left,
            slack_left,
            routers,
            slack.view_age_s(now_unix_s),
            now_unix_s - (self._first_unix_s or now_unix_s),
        )

    def is_current(self, payment: Payment, now_unix_s: float) -> bool:
        """Return whether a payment was made just now."""
        return payment.bucket == self._requests.bucket(now_unix_s)

    def refund(self, payment: Payment) -> None:
        """Take back a payment for a retry that was not sent."""
        self._charge(payment, -1)

    def dump(self, now_unix_s: float) -> dict[str, float]:
        """Return the counts of the current window and what is left, for operators."""
        now = self._requests.bucket(now_unix_s)
        return {
            'requests': self._requests.total(now - BUCKETS, now),
            'retries': self._retries.total(now - BUCKETS, now),
            'carried_left': round(self._carried_left(now), 2),
            'slack_spent': round(self._slack.total(now - SPENT_BUCKETS, now), 2),
        }

    def _charge(self, payment: Payment, sign: int) -> None:
        self._retries.add(payment.bucket, sign)
        self._fresh.charge(payment, sign)
        self._carried.add(payment.bucket, sign * payment.carried)
        self._slack.add(payment.bucket, sign * payment.slack)

    def _carried_left(self, now: int) -> float:
        windows = self._requests.totals(WINDOW_BUCKETS, now - BUCKETS - 1, now - 1)
        spent = self._carried.total(now - SPENT_BUCKETS, now)
        return max(0.0, CARRIED * self._budget.ratio * min(windows) - spent)

    def _slack_left(self, now: int, routers: int) -> float:
        if not routers:
            return 0.0
        spent = self._slack.total(now - SPENT_BUCKETS, now)
        return max(0.0, self._budget.slack / routers - spent)


class RetryShares:
    """The retry shares of all services on one router."""

    def __init__(self, budget: RetryBudget) -> None:
        """Initialize with no services."""
        self.slack = SlackShare(budget.window_s)
        self._budget = budget
        self._shares: dict[str, RetryShare] = {}

    def of(self, service: str) -> RetryShare:
        """Return the share of a service, creating it if needed."""
        share = self._shares.get(service)
        if share is None:
            share = RetryShare(service, self._budget)
            self._shares[service] = share
        return share

    def decide(self, service: str, now_unix_s: float) -> RetryDecision:
        """Grant and count a retry for a service, or refuse it if the share is used up."""
        return self.of(service).decide(now_unix_s, self.slack)

    def renew(self, decision: RetryDecision, now_unix_s: float) -> RetryDecision:
        """Pay for a granted retry when it is sent, which may be seconds after it was granted."""
        share = self.of(decision.service)
        if decision.payment is None or share.is_current(decision.payment, now_unix_s):
            return decision
        share.refund(decision.payment)
        return self.decide(decision.service, now_unix_s)

    def refund(self, decision: RetryDecision) -> None:
        """Take back what was paid for a retry that was not sent."""
        if decision.payment is not None:
            self.of(decision.service).refund(decision.payment)

    def dump(self, now_unix_s: float) -> dict[str, dict[str, float]]:
        """Return the counts of the current window by service, for operators."""
        return {service: share.dump(now_unix_s) for service, share in self._shares.items()}
