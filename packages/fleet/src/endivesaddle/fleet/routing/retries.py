"""Retry budgets: retries are a share of successes, so that they can't amplify an overload.

Failure it prevents: servers slow down, requests fail and are retried, and the load doubles while
capacity is lowest.  With a share of 0.1 the load grows by 10 % at most.
"""

from endivesaddle.fleet.routing.settings import RoutingSettings

MAX_SAVED = 10.0
"""Maximum of retries that an account can save."""
INITIAL = 3.0
"""Retries of an account before its first success."""
DIGITS = 6
"""Balances are rounded to this many digits, so that ten times 0.1 is one retry."""


class Retries:
    """Retry budgets of the client accounts."""

    def __init__(self, settings: RoutingSettings) -> None:
        """Initialize with no accounts."""
        self._share = settings.routing_retry_share
        self._balance: dict[str, float] = {}

    def succeeded(self, account: str) -> None:
        """Credit an account with a share of a retry."""
        balance = self._balance.get(account, INITIAL) + self._share
        self._balance[account] = min(MAX_SAVED, round(balance, DIGITS))

    def spend(self, account: str) -> bool:
        """Spend one retry; return False if there is none left."""
        balance = self._balance.get(account, INITIAL)
        if balance < 1:
            return False
        self._balance[account] = balance - 1
        return True

    def __len__(self) -> int:
        """Return the number of remembered accounts."""
        return len(self._balance)
