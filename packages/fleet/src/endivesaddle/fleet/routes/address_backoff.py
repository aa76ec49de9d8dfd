"""Instances that did not answer, each passed over for a while.

Failure: an instance whose machine is gone without a word stays on record, a sidecar for 90 s, and
a call to it takes all the time that the call may.  Routers that went on calling it heard nothing of
the store meanwhile.
"""

from endivesaddle.fleet.clock import Clock


class AddressBackoff:
    """Addresses ("ip:port") that failed, and until when."""

    def __init__(self, clock: Clock, first_s: float, most_s: float = 0.0) -> None:
        """Pass over for ``first_s``, twice as long with each failure in a row up to ``most_s``."""
        self._clock = clock
        self._first_s = first_s
        self._most_s = max(first_s, most_s)
        self._until_unix_s: dict[str, float] = {}
        self._failures: dict[str, int] = {}

    def record_failure(self, address: str, for_s: float = 0.0) -> None:
        """Pass an address over; ``for_s`` where it said itself for how long."""
        failures = self._failures.get(address, 0)
        pause_s = for_s or min(self._most_s, self._first_s * 2**failures)
        self._failures[address] = failures + 1
        self._until_unix_s[address] = self._clock.now_s() + pause_s

    def record_success(self, address: str) -> None:
        """Note that an address works."""
        self._failures.pop(address, None)

    def usable(self, address: str) -> bool:
        """Tell whether an address is not passed over."""
        return self._until_unix_s.get(address, 0) <= self._clock.now_s()
