"""A router that forwards requests on routes, put together from its parts.

It needs no sidecars and no disk: runs are held by the router itself, and what
must last lies in the store.
"""

import dataclasses
import signal
from typing import Annotated, Any, NamedTuple

import anyio
import cappa
from hypercorn.asyncio import serve as serve_asgi
from hypercorn.config import Config

from endivesaddle.backend_servers.forward_calls import ForwardLinks
from endivesaddle.backend_servers.kept_links import KeptLinks
from endivesaddle.callers.forward_app import ForwardApp, ForwardParts, ReadyApp, Stopping
from endivesaddle.callers.metrics import Metrics
from endivesaddle.callers.server import listen
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.daemon import events
from endivesaddle.daemon.settings import LogSettings
from endivesaddle.fleet import settings as options
from endivesaddle.fleet.clock import Clock, SteadyClock
from endivesaddle.fleet.ports import Handlers, Store
from endivesaddle.fleet.routes.dialect import Dialect
from endivesaddle.fleet.routes.following import Contact, Decoder, Follower, PolledStore
from endivesaddle.fleet.routes.keeping import Keeping
from endivesaddle.fleet.routes.known import Known
from endivesaddle.fleet.routes.neighbours import NeighbourParts, Neighbours
from endivesaddle.fleet.routes.roster import Roster
from endivesaddle.fleet.routes.running import Runner
from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.instances import GrpcPeers, InstancesSettings
from endivesaddle.instances import serve as serve_calls

ROTATION_S = 2.6
"""The platform takes a router out after two misses, asked for once a second."""
REFUSING_S = 3.0
"""New requests are taken so long after the word to stop: a balancer may still send some."""
SETTLED_S = 0.5
"""Left of the time for a stop when the process ends."""
LOOK_S = 0.1
KEPT_LOOK_S = 0.5
IDLE_REQUESTS = 1_000_000
"""Connections of callers are kept however many requests they carry."""
_MS = 1000


@dataclasses.dataclass(frozen=True)
class PlaceSettings:
    """Who a forwarding router is and where it listens."""

    instance: str = options.option('instance', 'name of this instance, unique')
    lifetime: str = options.option('lifetime', 'name of this life of the instance, never reused')
    http_listen: str = options.option(
        'http-listen', 'ip:port for callers', '127.0.0.1:0', options.address
    )
    ready_listen: str = options.option(
        'ready-listen', "ip:port for the platform's health checks", '127.0.0.1:0', options.address
    )
    listen: str = options.option(
        'listen', 'ip:port for the other routers', '127.0.0.1:0', options.address
    )
    seeds: tuple[str, ...] = options.option(
        'seeds', 'ip:port of other routers, where the store does not tell', (), options.names
    )
    stop_within_s: float = options.option(
        'stop-within-s', 'seconds that a graceful stop may take', 8.0, options.number(1, 86400)
    )


@dataclasses.dataclass(frozen=True)
class ForwarderSettings:
    """All settings of a forwarding router."""

    place: Annotated[PlaceSettings, cappa.Arg.destructured()]
    logs: Annotated[LogSettings, cappa.Arg.destructured()] = LogSettings()
    http: Annotated[CallersSettings, cappa.Arg.destructured()] = CallersSettings()
    links: Annotated[InstancesSettings, cappa.Arg.destructured()] = InstancesSettings()
    forward: Annotated[ForwardSettings, cappa.Arg.destructured()] = ForwardSettings()


class ForwardStore(Store, PolledStore):
    """A store that is written by compare-and-swap and followed by polls."""


class ForwardPorts(NamedTuple):
    """What an adapter brings: its store, how it is read, and its header names."""

    store: Any
    decoder: Decoder
    dialect: Dialect


class Forwarder:
    """One forwarding router; none is special."""

    def __init__(self, settings: ForwarderSettings, ports: ForwardPorts) -> None:
        """Build all parts; ``run`` starts them."""
        self.clock: Clock = SteadyClock()
        self.known = Known()
        self.stopping = Stopping()
        self._settings = settings
        place = settings.place
        contact = Contact(self.clock)
        self.follower = Follower(ports.store, ports.decoder, self.known, self.clock, contact)
        self.dispatcher = Dispatcher(settings.forward, self.known, self.clock, place.lifetime)
        self.keeping = Keeping(
            ports.store,
            self.known,
            self.clock,
            place.lifetime,
            lambda: self.dispatcher.routers,
            contact,
        )
        self.roster = Roster(ports.store, self.clock, place.lifetime, place.listen)
        parts = NeighbourParts(
            self.known,
            contact,
            ports.decoder,
            self.keeping,
            self.dispatcher,
            self.roster,
            place.seeds,
        )
        self.peers = GrpcPeers(settings.links, self.clock)
        self.neighbours = Neighbours(
            parts, self.peers, self.clock, place.lifetime, place.listen
        )
        self.keeping.borrow = self.neighbours.borrow
        self.handlers = Handlers()
        self.neighbours.register(self.handlers)
        self.links = ForwardLinks(KeptLinks(), ports.dialect, self.clock)
        runner = Runner(self.dispatcher, self.keeping, self.links, self.clock)
        self.metrics = Metrics()
        self.app = ForwardApp(
            ForwardParts(
                settings.http,
                ports.dialect,
                self.known,
                runner,
                self.clock,
                self.metrics,
                self.stopping,
            )
        )

    async def run(self) -> None:
        """Serve until a signal says stop, then end what is open."""
        closed = anyio.Event()
        place = self._settings.place
        async with (
            serve_calls(self.handlers, place.listen, self._settings.links),
            anyio.create_task_group() as group,
        ):
            group.start_soon(self.follower.run)
            group.start_soon(self.roster.run)
            group.start_soon(self.neighbours.run)
            group.start_soon(self.keeping.run)
            group.start_soon(self._tend)
            async with anyio.create_task_group() as serving:
                serving.start_soon(self._serve, self.app, place.http_listen, closed)
                serving.start_soon(self._serve, ReadyApp(self._ready), place.ready_listen, closed)
                events.STARTED.log(address=place.ready_listen, http_address=place.http_listen)
                await self._stop_signal()
                await self._stop()
                closed.set()
            group.cancel_scope.cancel()
        events.STOPPED.log(instance=self._settings.place.instance)

    def _ready(self) -> bool:
        return not self.stopping.leaving and self.keeping.ready() and bool(self.known.servers)

    async def _serve(self, app: Any, address: str, closed: anyio.Event) -> None:
        listener = listen(address, self._settings.http)
        config = Config()
        config.bind = [f'fd://{listener.detach()}']
        config.errorlog = None
        config.include_server_header = False
        config.include_date_header = False
        config.keep_alive_max_requests = IDLE_REQUESTS
        config.graceful_timeout = SETTLED_S
        self._limit(config)
        self.known.listeners.append(lambda: self._limit(config))
        await serve_asgi(app, config, shutdown_trigger=closed.wait)

    def _limit(self, config: Config) -> None:
        """Apply the declared limits; connections that are open keep theirs."""
        book = self.known.book
        if book is not None:
            limits = book.declared.limits
            config.h11_max_incomplete_size = limits.header_bytes
            config.keep_alive_timeout = limits.idle_ms / _MS

    async def _stop_signal(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            async for number in received:
                if number is not signal.SIGHUP:
                    return

    async def _stop(self) -> None:
        """Leave the balancer's rotation, take no more requests, end those in flight."""
        events.LEAVING.log(instance=self._settings.place.instance)
        began_unix_s = self.clock.now_s()
        self.stopping.leaving = True
        await anyio.sleep(ROTATION_S)
        await anyio.sleep(max(0, began_unix_s + REFUSING_S - self.clock.now_s()))
        self.stopping.refusing = True
        end_unix_s = began_unix_s + self._settings.place.stop_within_s - SETTLED_S
        while self.app.open_count and self.clock.now_s() < end_unix_s:
            await anyio.sleep(LOOK_S)
        events.DRAINED.log(instance=self._settings.place.instance)

    async def _tend(self) -> None:
        """Forget servers that are gone."""
        while True:
            await anyio.sleep(KEPT_LOOK_S)
            present = set(self.known.servers)
            self.dispatcher.lanes.drop_all_but(present)
            for lifetime in self.links.links.lifetimes() - present:
                await self.links.links.drop(lifetime)


