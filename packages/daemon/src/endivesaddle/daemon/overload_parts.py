"""The parts by which a forwarding router detects and handles its own overload."""

from functools import partial
from random import Random
from typing import Any

from endivesaddle.backend_servers.connection_pool import ConnectionPool
from endivesaddle.backend_servers.held_bytes import HeldBytes
from endivesaddle.backend_servers.server_connection import connect
from endivesaddle.daemon.forwarder_settings import ForwarderSettings
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.overload.monitor import OverloadMonitor
from endivesaddle.fleet.overload.overload import Overload
from endivesaddle.fleet.overload.own_calls import OwnCalls
from endivesaddle.fleet.overload.reports import OverloadReports
from endivesaddle.fleet.overload.traffic import Traffic
from endivesaddle.fleet.ports import Peers
from endivesaddle.fleet.routes.instance_directory import InstanceDirectory
from endivesaddle.fleet.routes.loop_lag import LoopLag
from endivesaddle.fleet.routes.peer_routers import PeerRouters
from endivesaddle.fleet.routes.routing_state import RoutingState


class OverloadParts:
    """The overload of this router; ``overload`` is None if the policy is off."""

    def __init__(self, settings: ForwarderSettings, peers: Peers, clock: Clock) -> None:
        """Initialize; ``peers`` are measured unless the policy is off."""
        self.peers = peers
        self.overload: Overload | None = None
        self._settings = settings.overload
        self._clock = clock
        if settings.overload.enabled:
            self._calls = OwnCalls(peers, clock)
            self.peers = self._calls
            reports = OverloadReports(settings.place.lifetime, settings.forward.forward_data_centre)
            self.overload = Overload(settings.overload, reports, Random())

    @property
    def traffic(self) -> Traffic | None:
        """The traffic in which connections are counted."""
        return self.overload.traffic if self.overload else None

    def probed_out(self) -> bool:
        """Tell a readiness check whether this router is out because it is overloaded."""
        if self.overload is None:
            return False
        self.overload.rotation.probed()
        return self.overload.rotation.out

    def pool(self) -> ConnectionPool:
        """Return a pool of connections to servers."""
        return ConnectionPool(partial(connect, traffic=self.traffic))

    def held_bytes(self) -> HeldBytes:
        """Return the bound on responses that are held, or that slow callers have not read."""
        return HeldBytes(self.traffic.buffered_bytes) if self.traffic else HeldBytes()

    def attach(self, peer_routers: PeerRouters) -> None:
        """Exchange reports with the other routers."""
        if self.overload is not None:
            peer_routers.overload_reports = self.overload.reports
            self.overload.listeners.append(peer_routers.report_now)

    def counters(self) -> dict[str, float]:
        """Return the numbers for operators."""
        return self.overload.counters() if self.overload else {}

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        return self.overload.dump() if self.overload else {}

    async def run(
        self, loop_lag: LoopLag, routing_state: RoutingState, directory: InstanceDirectory
    ) -> None:
        """Measure until cancelled."""
        if self.overload is None:
            return
        monitor = OverloadMonitor(
            self._settings, self.overload, self._calls, loop_lag, routing_state
        )
        await monitor.run(self._clock, lambda: directory.others)
