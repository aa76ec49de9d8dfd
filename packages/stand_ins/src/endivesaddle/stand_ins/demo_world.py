"""The demo's fleet: stand-ins, two routers and three sidecars in one process, over loopback."""

import functools
import secrets
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup, TaskStatus

from endivesaddle.daemon import process
from endivesaddle.daemon.building import build_router, build_sidecar
from endivesaddle.daemon.router import RouterSettings
from endivesaddle.daemon.settings import InstanceSettings, ServerSettings
from endivesaddle.daemon.sidecar import SidecarSettings
from endivesaddle.fleet.clock import WallClock
from endivesaddle.fleet.membership import MembershipSettings
from endivesaddle.operators.settings import OperatorSettings
from endivesaddle.platform import PlatformSettings
from endivesaddle.stand_ins.engine import EngineApp
from endivesaddle.stand_ins.engine_state import EngineState
from endivesaddle.stand_ins.etcd_gateway import EtcdGateway
from endivesaddle.stand_ins.etcd_serving import serve_asgi
from endivesaddle.stand_ins.memory_store import MemoryStore
from endivesaddle.stand_ins.service import ServiceApp, ServiceState

MODEL = 'boards-1'
SERVICE = 'labels'
DATA_CENTRES = ('porto-a', 'porto-b')
PLACES = (
    ('engine-1', 'porto-a', 'engine'),
    ('engine-2', 'porto-b', 'engine'),
    ('labels-1', 'porto-a', 'service'),
)
NOTICE_S = 0.1


class BackendServer(NamedTuple):
    """A backend server of the demo and where it answers."""

    name: str
    data_centre: str
    kind: str
    url: str


class World(NamedTuple):
    """What runs: HTTP base URLs of the routers, and the memory of the stand-ins."""

    routers: tuple[str, ...]
    store_url: str
    servers: tuple[BackendServer, ...]
    engines: tuple[EngineState, ...]
    service: ServiceState
    bootstrap_token: str

    def runs_of(self, request_key: str) -> int:
        """Return how often a request arrived at any backend server."""
        seen = [*self.service.seen, *(key for engine in self.engines for key in engine.seen)]
        return seen.count(request_key)


@asynccontextmanager
async def open_world() -> AsyncIterator[World]:
    """Start everything on ephemeral ports; all of it stops gracefully at the end."""
    clock = WallClock()
    async with AsyncExitStack() as stack:
        store_url = await _open_app(stack, EtcdGateway(MemoryStore(clock), clock))
        engines = (EngineState(models=[MODEL]), EngineState(models=[MODEL]))
        service = ServiceState()
        servers = await _open_servers(stack, (*engines, service))
        group = await stack.enter_async_context(anyio.create_task_group())
        fleet = _Fleet(group, platform_at(store_url), secrets.token_urlsafe())
        routers = await fleet.start(servers)
        yield World(routers, store_url, servers, engines, service, fleet.bootstrap_token)
        fleet.stop()


async def _open_servers(
    stack: AsyncExitStack, states: tuple[EngineState | ServiceState, ...]
) -> tuple[BackendServer, ...]:
    servers = []
    for place, state in zip(PLACES, states, strict=True):
        app = EngineApp(state) if isinstance(state, EngineState) else ServiceApp(state)
        servers.append(BackendServer(*place, await _open_app(stack, app)))
    return tuple(servers)


def platform_at(store_url: str) -> PlatformSettings:
    """Return the settings towards the store."""
    return PlatformSettings(store_urls=(f'etcd+{store_url}',))


class _Fleet:
    """The processes under way."""

    def __init__(self, group: TaskGroup, platform: PlatformSettings, bootstrap_token: str) -> None:
        self._group = group
        self.bootstrap_token = bootstrap_token
        self._platform = platform
        self._operators = OperatorSettings(bootstrap_token=bootstrap_token)
        self._seeds: tuple[str, ...] = ()
        self._stops: list[Callable[[], None]] = []

    async def start(self, servers: tuple[BackendServer, ...]) -> tuple[str, ...]:
        """Start all processes; return the base URLs of the routers."""
        urls = []
        for data_centre in DATA_CENTRES:
            router = await self._start_router(data_centre)
            self._seeds = (*self._seeds, router.address)
            urls.append(f'http://{router.http_address}')
        for server in servers:
            await self._start_sidecar(server)
        return tuple(urls)

    def stop(self) -> None:
        """Tell all processes to stop gracefully, the routers first."""
        for stop in self._stops:
            stop()

    async def _start_router(self, data_centre: str) -> process.Started:
        settings = RouterSettings(
            place=_place(f'router-{data_centre}', data_centre),
            platform=self._platform,
            operators=self._operators,
            membership=MembershipSettings(seeds=self._seeds),
        )
        return await self._run(functools.partial(process.run, settings, build_router(settings)))

    async def _start_sidecar(self, server: BackendServer) -> process.Started:
        settings = SidecarSettings(
            place=_place(f'sidecar-{server.name}', server.data_centre),
            server=ServerSettings(server.name, server.url, server.kind),
            platform=self._platform,
            membership=MembershipSettings(seeds=self._seeds),
        )
        return await self._run(functools.partial(process.run, settings, build_sidecar(settings)))

    async def _run(
        self, run: Callable[[Callable[[process.Started], None]], Awaitable[None]]
    ) -> process.Started:
        started: process.Started = await self._group.start(_start, run)
        self._stops.append(started.stop)
        return started


async def _start(
    run: Callable[[Callable[[process.Started], None]], Awaitable[None]],
    *,
    task_status: TaskStatus[process.Started],
) -> None:
    await run(task_status.started)


def _place(instance: str, data_centre: str) -> InstanceSettings:
    return InstanceSettings(instance=instance, data_centre=data_centre, notice_s=NOTICE_S)


async def _open_app(stack: AsyncExitStack, app: object) -> str:
    url: str = await stack.enter_async_context(serve_asgi(app))
    return url
