"""Measure the delay and the traffic of this process, and feed them into its overload decisions."""

from collections.abc import Callable, Container

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.overload import actions  # noqa: F401 (registers the actions)
from endivesaddle.fleet.overload.level import MAX_TOLERATED_S, Measured, tolerated_delay_s
from endivesaddle.fleet.overload.overload import Overload
from endivesaddle.fleet.overload.own_calls import OwnCalls
from endivesaddle.fleet.overload.settings import OverloadSettings
from endivesaddle.fleet.routes.call_times import WINDOW_S
from endivesaddle.fleet.routes.loop_lag import LoopLag
from endivesaddle.fleet.routes.routing_state import RoutingState

TICK_S = 0.1
"""Three measurements fit into the time after which a level may change."""
BUSY_LINK = 0.5
"""Calls that get no answer show a saturated link only if at least this much of it is used;
otherwise the other side is gone."""
FULL_LINK = 0.7
"""Bytes in the sockets' buffers wait for the link only above this; otherwise for a slow caller."""


class OverloadMonitor:
    """Takes a measurement ten times a second."""

    def __init__(
        self,
        settings: OverloadSettings,
        overload: Overload,
        calls: OwnCalls,
        loop_lag: LoopLag,
        routing_state: RoutingState,
    ) -> None:
        """Measure ``calls``, ``loop_lag`` and the traffic of ``overload``."""
        self._link_bytes_per_s = settings.link_bytes_per_s
        self._overload = overload
        self._calls = calls
        self._loop_lag = loop_lag
        self._routing_state = routing_state
        self._version = 0
        self._tolerated_s = MAX_TOLERATED_S

    async def run(self, clock: Clock, live: Callable[[], Container[str]]) -> None:
        """Measure until cancelled; ``live`` returns the routers on record in the store."""
        while True:
            await anyio.sleep(TICK_S)
            now_unix_s = clock.now_s()
            self._overload.reports.retain(live(), now_unix_s)
            self.measure(now_unix_s)

    def measure(self, now_unix_s: float) -> None:
        """Take one measurement."""
        traffic = self._overload.traffic
        rates = traffic.sample(now_unix_s)
        link = self._link_bytes_per_s
        link_share = max(rates) / link if link else 0.0
        buffered_bytes = traffic.buffered_bytes()
        calls_s = self._calls.delay_s(answered_only=link_share < BUSY_LINK)
        if link and link_share < BUSY_LINK:
            calls_s = 0.0
        lag_s = self._loop_lag.median_s(WINDOW_S)
        buffer_s = buffered_bytes / link if link_share > FULL_LINK else 0.0
        self._overload.update(
            Measured(
                now_unix_s, max(calls_s, lag_s, buffer_s), self._tolerated(), link_share, sum(rates)
            ),
            calls_s=round(calls_s, 4),
            lag_s=round(lag_s, 4),
            buffered_bytes=buffered_bytes,
        )

    def _tolerated(self) -> float:
        """Return the tolerated delay by the declarations in force."""
        index = self._routing_state.declarations
        if index is not None and index.version != self._version:
            self._version = index.version
            goals_ms = (route.goal_ms for route in index.declared.routes)
            self._tolerated_s = tolerated_delay_s(goals_ms)
        return self._tolerated_s
