"""Counters that the daemon exports as metrics."""

from collections import Counter

from endivesaddle.fleet.requests.settling import Ended
from endivesaddle.wire import holders_pb2


class Counters:
    """Counters by name."""

    def __init__(self) -> None:
        """Initialize with no counters."""
        self._counts: Counter[str] = Counter()

    def add(self, name: str, more: int = 1) -> None:
        """Add ``more`` to a counter."""
        self._counts[name] += more

    def read(self) -> dict[str, float]:
        """Return all counters, sorted by name."""
        return dict(sorted(self._counts.items()))

    def ended(self, then: Ended) -> Ended:
        """Return a hook that counts outcomes and billed tokens, then calls ``then``."""

        def count(record: holders_pb2.Record) -> None:
            self.add(f'outcome_{record.outcome}')
            self.add('billed_tokens', record.used_tokens)
            then(record)

        return count
