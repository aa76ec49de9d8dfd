"""How long this process's calls to other instances took lately.

Load pattern: a router gets more requests than its link or its processor bears, and its own calls
queue behind prompts and events.  A call that takes too long while those to others do, too, tells of
this process and not of the other side.
"""

from collections import deque
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.ports import Peers
from endivesaddle.wire import rpcs

KEPT_S = 0.5
"""Calls that ended within this are looked at: it is twice what a call may usually take."""
SLOW_S = 0.05
"""A call between instances takes a few ms; one that takes this long waited somewhere."""
MARGIN = 2.0
"""While calls take long here, a time limit is this many times what the longest took."""
TIMED = frozenset((rpcs.DRAW.path, rpcs.ENTER.path, rpcs.WORD.path))
"""Calls that are answered at once; others wait for changes on purpose."""


class _Made(NamedTuple):
    """One call: when it ended, to whom it was, and how long it took."""

    at_unix_s: float
    address: str
    took_s: float


class CallTimes:
    """The calls of the last seconds."""

    def __init__(self, clock: Clock) -> None:
        """Start without calls."""
        self._clock = clock
        self._made: deque[_Made] = deque()

    def made(self, address: str, took_s: float) -> None:
        """Note a call, answered or not."""
        self._made.append(_Made(self._clock.now_s(), address, took_s))
        self._forget()

    def limit_s(self, address: str, usual_s: float, most_s: float) -> float:
        """Return the time limit for a call: ``usual_s``, more while calls to others take long."""
        if not self.slow_elsewhere(address):
            return usual_s
        longest_s = max(call.took_s for call in self._made)
        return max(usual_s, min(most_s, MARGIN * longest_s))

    def slow_elsewhere(self, address: str) -> bool:
        """Tell whether calls to other addresses took long as well, most of the last seconds'."""
        self._forget()
        others = [call for call in self._made if call.address != address]
        slow = [call for call in others if call.took_s >= SLOW_S]
        return len(slow) * 2 > len(others)

    def dump(self) -> dict[str, float]:
        """Return what operators look at: how many calls there were, and how long they took."""
        self._forget()
        took = sorted(call.took_s for call in self._made)
        if not took:
            return {'calls': 0, 'median_s': 0.0, 'longest_s': 0.0}
        median_s = took[len(took) // 2]
        return {
            'calls': len(took),
            'median_s': round(median_s, 4),
            'longest_s': round(took[-1], 4),
        }

    def _forget(self) -> None:
        oldest_unix_s = self._clock.now_s() - KEPT_S
        while self._made and self._made[0].at_unix_s < oldest_unix_s:
            self._made.popleft()


class TimedPeers:
    """The port ``Peers``, with the times of its calls."""

    def __init__(self, peers: Peers, clock: Clock) -> None:
        """Call by ``peers``."""
        self.times = CallTimes(clock)
        self._peers = peers
        self._clock = clock

    async def call(
        self, address: str, rpc: rpcs.Rpc[Any, Any], message: Any, deadline_unix_s: float
    ) -> Any:
        """Make one call; raises what ``Peers`` raises."""
        began_unix_s = self._clock.now_s()
        try:
            return await self._peers.call(address, rpc, message, deadline_unix_s)
        finally:
            if rpc.path in TIMED:
                self.times.made(address, self._clock.now_s() - began_unix_s)

    def follow(
        self, address: str, rpc: rpcs.Rpc[Any, Any], message: Any, silence_s: float
    ) -> AsyncIterator[Any]:
        """Yield the messages of a streamed answer."""
        return self._peers.follow(address, rpc, message, silence_s)
