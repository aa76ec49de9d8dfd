"""Limit the calls of one instance to its share of the store's rates, and count them.

The store serves a fixed rate for the whole fleet, which is divided by the number of
routers.  One instance in a fast retry loop would use up the rate of all others, so
each has a token bucket for reads and one for writes; a call that can't be made
before its deadline is refused at once.
"""

from collections import Counter
from typing import Any

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.platform.settings import PlatformSettings
from endivesaddle.platform.shares import RouterCount

READS = frozenset(('read', 'list', 'watch'))
"""Kinds of calls that count as reads; all others are writes."""
START_CALLS_S = 30.0
"""How long after the start the extra start calls may be used."""
SIDECAR_START_CALLS = 10
"""A sidecar reads the sealed epochs and its orders when it starts, and writes a lease."""


class TokenBucket:
    """A token bucket that refills at a steady rate up to a burst size."""

    def __init__(self, per_s: float, burst_tokens: float, clock: Clock) -> None:
        """Initialize with a full bucket."""
        self._per_s = per_s
        self._burst_tokens = burst_tokens
        self._clock = clock
        self._tokens = burst_tokens
        self._filled_unix_s = clock.now_s()
        self._extra_until_unix_s = 0.0

    def add_extra(self, extra_tokens: float, until_unix_s: float) -> None:
        """Add tokens beyond the burst size once; those not taken by ``until_unix_s`` expire."""
        self._tokens += extra_tokens
        self._extra_until_unix_s = until_unix_s

    def set_rate(self, per_s: float, burst_tokens: float) -> None:
        """Change the refill rate and the burst size from now on."""
        self._fill()
        self._per_s = per_s
        self._burst_tokens = burst_tokens

    def take(self, latest_unix_s: float) -> float:
        """Take a token and return how long to wait for it; negative if too long.

        Tokens taken in advance make the count negative; this represents the queue.
        """
        now_unix_s = self._fill()
        wait_s = max(0, (1 - self._tokens) / self._per_s)
        if now_unix_s + wait_s > latest_unix_s:
            return -1
        self._tokens -= 1
        return wait_s

    def _fill(self) -> float:
        now_unix_s = self._clock.now_s()
        # A clock that was set back must not drain the bucket: count it as no time passed.
        passed_s = max(0, now_unix_s - self._filled_unix_s)
        # Otherwise extra tokens could be used later by all instances at once.
        if now_unix_s >= self._extra_until_unix_s:
            self._tokens = min(self._tokens, self._burst_tokens)
        room_tokens = max(0, self._burst_tokens - self._tokens)
        self._tokens += min(room_tokens, passed_s * self._per_s)
        self._filled_unix_s = now_unix_s
        return now_unix_s


class StoreRate:
    """Rate limiter for one instance's share of the store's rates."""

    def __init__(self, settings: PlatformSettings, clock: Clock) -> None:
        """Initialize with extra start calls and the share of a router in a full fleet.

        ``calls`` and ``refused`` count calls by kind; ``routers`` divides the fleet's rates.
        """
        self._settings = settings
        self._clock = clock
        self._router_count = RouterCount(clock)
        self.routers = self._router_count.update(1)
        self.calls: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.limit(*self._share(), settings.store_start_calls)

    def divide(self, count: int) -> None:
        """Set the rates to one router's share when it sees ``count`` live routers."""
        self.routers = self._router_count.update(count)
        reads_per_s, writes_per_s = self._share()
        self._reads.set_rate(reads_per_s, self._burst_tokens(reads_per_s))
        self._writes.set_rate(writes_per_s, self._burst_tokens(writes_per_s))

    def limit(self, reads_per_s: float, writes_per_s: float, start_calls: int) -> None:
        """Restart with these rates, independent of the fleet's size, and extra start calls."""
        self._reads = self._bucket(reads_per_s, start_calls)
        self._writes = self._bucket(writes_per_s, start_calls)

    def limit_sidecar(self) -> None:
        """Restart with the lower rates of a sidecar."""
        settings = self._settings
        self.limit(
            settings.store_sidecar_reads_per_s,
            settings.store_sidecar_writes_per_s,
            SIDECAR_START_CALLS,
        )

    def counters(self) -> dict[str, int]:
        """Return counts for metrics."""
        return {
            'routers': self.routers,
            'calls': self.calls.total(),
            'refused': self.refused.total(),
        }

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            'routers': self.routers, 'calls': dict(self.calls), 'refused': dict(self.refused),
        }  # fmt: skip

    async def take(self, kind: str, deadline_unix_s: float) -> None:
        """Wait until one call of this kind may be made.

        Raises ``StoreUnreachable`` at once if that is after the deadline.
        """
        bucket = self._reads if kind in READS else self._writes
        wait_s = bucket.take(deadline_unix_s)
        if wait_s < 0:
            self.refused[kind] += 1
            raise StoreUnreachable(f"this instance's share of store calls is used up: {kind}")
        if wait_s:
            await anyio.sleep(wait_s)
        self.calls[kind] += 1

    def _share(self) -> tuple[float, float]:
        settings = self._settings
        return (
            settings.store_reads_per_s / self.routers,
            settings.store_writes_per_s / self.routers,
        )

    def _bucket(self, per_s: float, start_calls: int) -> TokenBucket:
        bucket = TokenBucket(per_s, self._burst_tokens(per_s), self._clock)
        bucket.add_extra(start_calls, self._clock.now_s() + START_CALLS_S)
        return bucket

    def _burst_tokens(self, per_s: float) -> float:
        return max(1, per_s * self._settings.store_burst_s)
