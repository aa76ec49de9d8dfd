"""Measure the delay of this process's own short calls, answered or still open.

Load pattern: a router's link is saturated, and its calls to all instances queue behind prompts and
events.  Calls that never get an answer show this first, so open calls count as well.
"""

import statistics
from collections import deque
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.ports import Peers
from endivesaddle.fleet.routes.call_times import TIMED, WINDOW_S
from endivesaddle.wire import rpcs

LEAST_ADDRESSES = 2
"""Slow calls to a single address say nothing about this process."""
MAX_BASE_S = 0.02
"""The least duration of calls to an address is the distance of its data centre, up to this; a
router that is overloaded from its start would otherwise take its queues for distance."""


class _Call(NamedTuple):
    """A call that has ended."""

    ended_unix_s: float
    address: str
    duration_s: float
    answered: bool


class OwnCalls:
    """The port ``Peers``, which also measures calls."""

    def __init__(self, peers: Peers, clock: Clock) -> None:
        """Make calls with ``peers``."""
        self._peers = peers
        self._clock = clock
        self._ended: deque[_Call] = deque()
        self._open: dict[int, tuple[str, float]] = {}
        self._number = 0
        self._base_s: dict[str, float] = {}

    async def call(
        self, address: str, rpc: rpcs.Rpc[Any, Any], message: Any, deadline_unix_s: float
    ) -> Any:
        """Make one call; raises what ``Peers`` raises."""
        if rpc.path not in TIMED:
            return await self._peers.call(address, rpc, message, deadline_unix_s)
        self._number += 1
        number, answered = self._number, False
        self._open[number] = (address, self._clock.now_s())
        try:
            reply = await self._peers.call(address, rpc, message, deadline_unix_s)
            answered = True
        finally:
            self._record(number, answered)
        return reply

    def follow(
        self, address: str, rpc: rpcs.Rpc[Any, Any], message: Any, silence_s: float
    ) -> AsyncIterator[Any]:
        """Yield the messages of a streamed answer."""
        return self._peers.follow(address, rpc, message, silence_s)

    def delay_s(self, answered_only: bool) -> float:
        """Return the median delay of the last half second; 0 with fewer than two addresses.

        Failure: other instances are gone or cut off, and calls to them take their whole time
        limit although this process is idle.  ``answered_only`` leaves those calls out.
        """
        now_unix_s = self._clock.now_s()
        self._expire(now_unix_s)
        calls = [
            (call.address, call.duration_s)
            for call in self._ended
            if call.answered or not answered_only
        ]
        ended = statistics.median([took_s for _, took_s in calls]) if calls else 0.0
        if not answered_only:
            # An open call is at least as slow as its age; younger ones say nothing yet.
            ages = [(address, now_unix_s - began) for address, began in self._open.values()]
            calls.extend(one for one in ages if one[1] > ended)
        if len({address for address, _ in calls}) < LEAST_ADDRESSES:
            return 0.0
        delays = [took_s - self._base_s.get(address, 0.0) for address, took_s in calls]
        return max(0.0, statistics.median(delays))

    def _record(self, number: int, answered: bool) -> None:
        address, began_unix_s = self._open.pop(number)
        now_unix_s = self._clock.now_s()
        took_s = now_unix_s - began_unix_s
        self._ended.append(_Call(now_unix_s, address, took_s, answered))
        self._expire(now_unix_s)
        if answered:
            base_s = self._base_s.get(address, MAX_BASE_S)
            self._base_s[address] = min(base_s, took_s)

    def _expire(self, now_unix_s: float) -> None:
        while self._ended and self._ended[0].ended_unix_s < now_unix_s - WINDOW_S:
            self._ended.popleft()
