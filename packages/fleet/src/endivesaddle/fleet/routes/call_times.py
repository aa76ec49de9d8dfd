"""Measure how long this process's recent calls to other instances took.

Load pattern: a router gets more requests than its link or its processor can handle, and its own
calls queue behind prompts and events.  If a call is slow while calls to other instances are slow
too, the cause is this process and not the other side.
"""

from collections import deque
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.ports import Peers
from endivesaddle.wire import rpcs

WINDOW_S = 0.5
"""Calls that ended within this time are considered; it is twice the usual time limit of a call."""
SLOW_S = 0.05
"""A call between instances takes a few ms; one that takes this long was queued somewhere."""
TYPICAL_CALLS = 7
"""Number of answered calls whose median is the typical duration: four slow ones are a change."""
TYPICAL_WINDOW_S = 10.0
"""Answered calls count for this long: while the link is saturated, few calls are answered."""
MARGIN = 2.0
"""While calls of this process are slow, time limits are this multiple of the longest call."""
TIMED = frozenset((rpcs.DRAW.path, rpcs.ENTER.path, rpcs.WORD.path))
"""Paths of calls that are answered at once; other calls wait for changes on purpose."""


class _Call(NamedTuple):
    """One call: its end, the called address and its duration."""

    ended_unix_s: float
    address: str
    duration_s: float


class CallTimes:
    """The calls within the last ``WINDOW_S``."""

    def __init__(self, clock: Clock) -> None:
        """Initialize without calls."""
        self._clock = clock
        self._calls: deque[_Call] = deque()
        self._answered: deque[_Call] = deque(maxlen=TYPICAL_CALLS)

    def record(self, address: str, duration_s: float, answered: bool = False) -> None:
        """Record a call, answered or not."""
        call = _Call(self._clock.now_s(), address, duration_s)
        self._calls.append(call)
        if answered:
            self._answered.append(call)
        self._expire()

    def typical_s(self) -> float:
        """Return the median duration of the recent answered calls, 0 if there are none.

        A call that was given up tells only its time limit, which is shorter than the call.
        """
        oldest_unix_s = self._clock.now_s() - TYPICAL_WINDOW_S
        durations = sorted(
            call.duration_s for call in self._answered if call.ended_unix_s >= oldest_unix_s
        )
        return durations[len(durations) // 2] if durations else 0

    def limit_s(self, address: str, usual_s: float, most_s: float) -> float:
        """Return the time limit for a call: ``usual_s``, or more while calls to others are slow."""
        if not self.slow_elsewhere(address):
            return usual_s
        longest_s = max(call.duration_s for call in self._calls)
        return max(usual_s, min(most_s, MARGIN * longest_s))

    def slow_elsewhere(self, address: str) -> bool:
        """Tell whether most recent calls to other addresses were slow as well."""
        self._expire()
        others = [call for call in self._calls if call.address != address]
        slow = [call for call in others if call.duration_s >= SLOW_S]
        return len(slow) * 2 > len(others)

    def dump(self) -> dict[str, float]:
        """Return the number of recent calls and their durations, for the operators' state dump."""
        self._expire()
        durations = sorted(call.duration_s for call in self._calls)
        if not durations:
            return {'calls': 0, 'median_s': 0.0, 'longest_s': 0.0}
        median_s = durations[len(durations) // 2]
        return {
            'calls': len(durations),
            'median_s': round(median_s, 4),
            'longest_s': round(durations[-1], 4),
        }

    def _expire(self) -> None:
        oldest_unix_s = self._clock.now_s() - WINDOW_S
        while self._calls and self._calls[0].ended_unix_s < oldest_unix_s:
            self._calls.popleft()


class TimedPeers:
    """The port ``Peers``, which also records the durations of calls."""

    def __init__(self, peers: Peers, clock: Clock) -> None:
        """Make calls with ``peers``."""
        self.times = CallTimes(clock)
        self._peers = peers
        self._clock = clock

    async def call(
        self, address: str, rpc: rpcs.Rpc[Any, Any], message: Any, deadline_unix_s: float
    ) -> Any:
        """Make one call; raises what ``Peers`` raises."""
        began_unix_s = self._clock.now_s()
        answered = False
        try:
            reply = await self._peers.call(address, rpc, message, deadline_unix_s)
            answered = True
        finally:
            if rpc.path in TIMED:
                self.times.record(address, self._clock.now_s() - began_unix_s, answered)
        return reply

    def follow(
        self, address: str, rpc: rpcs.Rpc[Any, Any], message: Any, silence_s: float
    ) -> AsyncIterator[Any]:
        """Yield the messages of a streamed answer."""
        return self._peers.follow(address, rpc, message, silence_s)
