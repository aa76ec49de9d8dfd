"""A router that forwards requests on routes, put together from its parts.

It needs no sidecars and no disk: runs are held by the router itself, and what
must last lies in the store.
"""

from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import anyio

from endivesaddle.backend_servers.forward_client import ForwardClient
from endivesaddle.callers.forward_app import ForwardApp, ForwardParts, ReadyApp, Stopping
from endivesaddle.callers.forward_metrics import ForwardMetrics
from endivesaddle.daemon import events, tasks
from endivesaddle.daemon.forward_http import SETTLED_S, serve_http
from endivesaddle.daemon.forward_parts import ForwardPorts, decisions
from endivesaddle.daemon.forwarder_settings import ForwarderSettings
from endivesaddle.daemon.overload_parts import OverloadParts
from endivesaddle.daemon.signals import SignalReader
from endivesaddle.fleet.clock import MonotonicClock
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes.call_times import TimedPeers
from endivesaddle.fleet.routes.departures import Departures
from endivesaddle.fleet.routes.loop_lag import LoopLag
from endivesaddle.fleet.routes.peer_routers import PeerRouterParts, PeerRouters
from endivesaddle.fleet.routes.remote_store import answer_store
from endivesaddle.fleet.routes.running import Runner
from endivesaddle.fleet.routes.sidecar_admission import SidecarAdmission
from endivesaddle.fleet.routes.store_watch import StoreWatcher
from endivesaddle.fleet.routes.stored_crashes import StoredCrashes
from endivesaddle.instances import GrpcPeers
from endivesaddle.instances import serve as serve_calls

REFUSING_S = 3.0
"""New requests are taken so long after the word to stop.

The platform takes a router out after two misses, asked for once a second, so that
requests come for up to 2.6 s more."""
RELEASE_S = 0.8
"""Shares are given back within this, which is twice what a slow store takes for a write.

What callers are still owed by then has a sixth of the platform's time to stop left."""
LOOK_S = 0.1
TEND_S = 0.5


class Forwarder:
    """One forwarding router; none is special."""

    def __init__(self, settings: ForwarderSettings, ports: ForwardPorts) -> None:
        """Build all parts; ``run`` starts them."""
        clock = MonotonicClock()
        place = settings.place
        self._overload = OverloadParts(settings, GrpcPeers(settings.links, clock), clock)
        peers = TimedPeers(self._overload.peers, clock)
        self.parts = decisions(settings, ports, peers, clock)
        self.links = ForwardClient(
            self._overload.pool(),
            ports.header_names,
            clock,
            self._overload.held_bytes(),
            ports.reports,
        )
        self.peer_routers = PeerRouters(
            PeerRouterParts(*self.parts[1:5], ports.decoder, place.seeds),
            peers,
            clock,
            place.lifetime,
            place.listen,
        )
        self._overload.attach(self.peer_routers)
        self._call_times = peers.times
        self._admission = SidecarAdmission(
            self.parts.dispatcher.backends, self.parts.directory, peers, clock, place.lifetime
        )
        self.parts.dispatcher.admission = self._admission
        self._settings = settings
        self._ports = ports
        self._clock = clock
        self._loop_lag = LoopLag(clock)
        self._stopping = Stopping(self.peer_routers.others_stay)
        parts = self.parts
        self._store_watcher = StoreWatcher(
            parts.store,
            ports.decoder,
            parts.routing_state,
            clock,
            parts.store_status,
            settings.store,
        )
        self._signals = SignalReader(self.state)
        self._crashes = StoredCrashes(parts.store, parts.dispatcher.crashes, clock)
        self._metrics = ForwardMetrics(self.state)
        parts.store.observer = self._metrics.store_called
        self._departures = Departures(clock, self._loop_lag.worst_s)
        runner = Runner(
            parts.dispatcher,
            parts.pools,
            self.links,
            clock,
            self._departures,
            parts.streams.resumption,
        )
        self._app = ForwardApp(
            ForwardParts(
                settings.http,
                ports.header_names,
                parts.routing_state,
                runner,
                clock,
                self._metrics,
                self._stopping,
                self._overload.overload,
            )
        )

    async def run(self) -> None:
        """Serve until a signal says stop, then end what is open."""
        handlers = Handlers()
        parts = self.parts
        for answering in (self.peer_routers, parts.allocator, parts.pools, parts.streams):
            answering.register(handlers)
        answer_store(handlers, self.parts.store.direct, self._clock)
        async with (
            serve_calls(handlers, self._settings.place.listen, self._settings.links),
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._signals.run)
            # A request that waits for a draw would wait in vain if draws were started anew.
            group.start_soon(self.parts.pools.run)
            for part in self._running():
                group.start_soon(tasks.keep, part.__qualname__, part)
            await self._serve()
            group.cancel_scope.cancel()
        events.STOPPED.log(instance=self._settings.place.instance)

    def state(self) -> dict[str, Any]:
        """Return the whole state for operators; ``counters`` are numbers alone."""
        parts = self.parts
        routing_state = parts.routing_state
        return {
            'instance': self._settings.place.instance,
            'lifetime': self._settings.place.lifetime,
            'routers': parts.directory.others,
            'shares': parts.pools.dump(),
            'grants': parts.allocator.dump(),
            'servers': parts.dispatcher.dump(),
            'waiting': parts.dispatcher.waiting.dump(),
            'evacuated': sorted(routing_state.evacuations.names),
            'calls_lately': self._call_times.dump(),
            'crashes': parts.dispatcher.crashes.dump(self._clock.now_s()),
            'retries': parts.dispatcher.retry_shares.dump(self._clock.now_s()),
            'overload': self._overload.dump(),
            'limits': routing_state.limits.dump(self._clock.now_s()),
            'unread_headers': sorted(self.links.unread.names),
            'unread_names': sorted(self._ports.decoder.unread.names),
            'counters': {
                'forward_open': self._app.open_count,
                'connections_opened': self.links.pool.opened_count,
                'server_reports_read': self.links.proofs.asked_count,
                'declared_version': routing_state.declarations.version
                if routing_state.declarations
                else 0,
                'servers_known': len(routing_state.servers),
                'store_age_seconds': parts.store_status.age_s,
                'store_away_here': int(parts.store.unavailable),
                'servers_heard_age_seconds': parts.dispatcher.server_list_age_s(),
                'late_seconds': self._loop_lag.worst_s(),
                'sidecars_known': len(parts.directory.sidecars),
                'evacuated_data_centres': len(routing_state.evacuations.names),
                'cold_withheld': parts.dispatcher.send_limits.cold.throttled_count,
                'limit_withheld': parts.dispatcher.send_limits.limits.throttled_count,
                'unread_headers': len(self.links.unread.names),
                'unread_names': len(self._ports.decoder.unread.names),
                'crash_records': len(parts.dispatcher.crashes),
                'routers_known': len(parts.directory.others) + 1,
                'fetches_named': parts.dispatcher.prefix_fetch.named_count,
                'fetched_tokens': parts.dispatcher.prefix_fetch.fetched_tokens,
                **parts.pools.counters(),
                **parts.allocator.counters(),
                **parts.dispatcher.counts,
                **self._departures.counters(),
                **parts.streams.resumption.counters(),
                **self._overload.counters(),
                **parts.dispatcher.waiting.counters(),
            },
        }

    def _running(self) -> Iterable[Callable[[], Coroutine[Any, Any, None]]]:
        return [
            self._store_watcher.run,
            self.parts.store.run,
            self.parts.directory.run,
            self.peer_routers.run,
            self.parts.allocator.run,
            self.parts.dispatcher.waiting.run,
            self._admission.run,
            self._crashes.run,
            self.parts.streams.run,
            self._loop_lag.run,
            self._run_overload,
            self._tend,
        ]

    async def _serve(self) -> None:
        """Take requests and health checks from the start to the end of a stop."""
        place, http = self._settings.place, self._settings.http
        closed = anyio.Event()
        ready = ReadyApp(self._ready)
        routing_state = self.parts.routing_state
        async with anyio.create_task_group() as serving:
            serving.start_soon(
                serve_http,
                self._app,
                place.http_listen,
                http,
                routing_state,
                closed,
                self._overload.traffic,
            )
            serving.start_soon(serve_http, ready, place.ready_listen, http, routing_state, closed)
            serving.start_soon(
                serve_http, self._metrics, place.metrics_listen, http, routing_state, closed
            )
            events.STARTED.log(address=place.listen, http_address=place.http_listen)
            await self._signals.stopping.wait()
            await self._stop()
            closed.set()

    def _ready(self) -> bool:
        routing_state = self.parts.routing_state
        able = (
            self.parts.pools.ready()
            and bool(routing_state.servers)
            and routing_state.evacuations.heard
        )
        return able and not self._stopping.leaving and not self._overload.probed_out()

    async def _stop(self) -> None:
        """Leave the balancer's rotation, take no more requests, end those in flight."""
        events.LEAVING.log(instance=self._settings.place.instance)
        end_unix_s = self._clock.now_s() + self._settings.place.stop_within_s
        end_unix_s -= RELEASE_S + SETTLED_S
        self._stopping.leaving = True
        self.peer_routers.leaving = True
        self.parts.streams.copies.leaving = True
        await anyio.sleep(REFUSING_S)
        self._stopping.refusing = True
        self.parts.dispatcher.waiting.stop(self._stopping.refusal)
        # At once and not at the end alone: a slow store takes a third of a second for a write,
        # and what was not given back in time was lost, up to 10% of a total at one stop.
        with anyio.move_on_after(RELEASE_S):
            await self._give_back()
        while self._app.open_count and self._clock.now_s() < end_unix_s:
            await anyio.sleep(LOOK_S)
        with anyio.move_on_after(RELEASE_S):
            await self._give_back()
        cut = self._app.open_count
        (events.CUT if cut else events.DRAINED).log(instance=self._settings.place.instance)

    async def _give_back(self) -> None:
        """Give the allocators back what is not in use, and the store what is kept here."""
        await self.parts.pools.release()
        await self.parts.allocator.release()

    async def _run_overload(self) -> None:
        parts = self.parts
        await self._overload.run(self._loop_lag, parts.routing_state, parts.directory)

    async def _tend(self) -> None:
        """Forget servers that are gone, and pass on who may reach the store."""
        links = self.links.pool
        while True:
            await anyio.sleep(TEND_S)
            self.parts.store.relays = self.parts.directory.relays
            self.parts.store.hubs = self.parts.directory.hubs
            self.parts.pools.routers = len(self.parts.directory.others) + 1
            present = set(self.parts.routing_state.servers)
            self.parts.dispatcher.backends.drop_all_but(present, self._clock.now_s())
            for lifetime in links.lifetimes() - present:
                links.drop(lifetime)
