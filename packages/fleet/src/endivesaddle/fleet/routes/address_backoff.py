"""Back off from instances that did not answer.

Failure: an instance whose machine was lost stays on record, a sidecar for 90 s, and each call to it
takes the call's whole time limit.  Routers that kept calling it got no updates from the store
meanwhile.
"""

from endivesaddle.fleet.clock import Clock


class AddressBackoff:
    """Addresses ("ip:port") that failed, and until when to avoid them."""

    def __init__(self, clock: Clock, first_s: float, most_s: float = 0.0) -> None:
        """Back off for ``first_s``, doubled with each consecutive failure up to ``most_s``."""
        self._clock = clock
        self._first_s = first_s
        self._most_s = max(first_s, most_s)
        self._until_unix_s: dict[str, float] = {}
        self._failures: dict[str, int] = {}

    def record_failure(self, address: str, for_s: float = 0.0) -> None:
        """Avoid an address; for ``for_s`` seconds if given, whatever the backoff."""
        failures = self._failures.get(address, 0)
        pause_s = for_s or min(self._most_s, self._first_s * 2**failures)
        self._failures[address] = failures + 1
        self._until_unix_s[address] = self._clock.now_s() + pause_s

    def record_success(self, address: str) -> None:
        """Reset the backoff of an address that answered."""
        self._failures.pop(address, None)

    def usable(self, address: str) -> bool:
        """Tell whether an address is not being avoided."""
        return self._until_unix_s.get(address, 0) <= self._clock.now_s()
