"""A sidecar of a fleet that forwards: store calls for routers that are cut off, and grants.

It carries no request.  Without it a router that lost the store lived on the tokens it had drawn
before, and a router that was killed took with it what its accounts held ahead.
"""

import dataclasses
from typing import Any

import anyio

from endivesaddle.daemon import events
from endivesaddle.daemon.settings import LogSettings
from endivesaddle.daemon.signals import SignalReader
from endivesaddle.daemon.tasks import keep
from endivesaddle.fleet import settings as options
from endivesaddle.fleet.clock import MonotonicClock
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes.allocator import Allocator
from endivesaddle.fleet.routes.grant_group import AllocatorContext
from endivesaddle.fleet.routes.instance_directory import (
    SIDECAR,
    SIDECAR_LEASE_S,
    SIDECAR_RENEW_S,
    Instance,
    InstanceEntry,
)
from endivesaddle.fleet.routes.origin_keeper import KeeperParts, OriginKeeper
from endivesaddle.fleet.routes.remote_store import ForwardStore, answer_store
from endivesaddle.fleet.routes.report_aggregator import ReportAggregator
from endivesaddle.fleet.routes.shared_polls import SharedPolls
from endivesaddle.fleet.routes.sidecar_admission import serve_admission
from endivesaddle.fleet.routes.write_intervals import AllocatorSettings
from endivesaddle.fleet.routing.engine_admission import EngineAdmission
from endivesaddle.fleet.routing.stream_origins import StreamOrigins
from endivesaddle.instances import GrpcPeers
from endivesaddle.instances.server import serve as serve_calls
from endivesaddle.instances.settings import InstancesSettings

RELEASE_S = 0.8
"""Grants are given back within this, which is twice what a slow store takes for a write."""
RETURN_S = 2.5
"""A sidecar that stops answers for so long: two rounds of the routers, and a slow one."""


@dataclasses.dataclass(frozen=True)
class StoreSidecarSettings:
    """All settings of a sidecar that makes store calls."""

    instance: str = options.option('instance', 'name of this instance, unique')
    lifetime: str = options.option('lifetime', 'name of this life of the instance, never reused')
    listen: str = options.option(
        'listen', 'ip:port for the routers', '127.0.0.1:0', options.address
    )
    data_centre: str = options.option('data-centre', 'data centre of this instance', 'one')
    logs: LogSettings = LogSettings()
    links: InstancesSettings = InstancesSettings()
    allocator: AllocatorSettings = AllocatorSettings()


class StoreSidecar:
    """One such process."""

    def __init__(self, settings: StoreSidecarSettings, store: ForwardStore) -> None:
        """Make the calls of others to ``store``."""
        self._settings = settings
        self._store = store
        self._clock = MonotonicClock()
        self._polls = SharedPolls(store, self._clock)
        self._signals = SignalReader(self.state)
        own = Instance(SIDECAR, settings.lifetime, settings.listen, settings.data_centre)
        self._entry = InstanceEntry(store, self._clock, own, SIDECAR_LEASE_S)
        peers = GrpcPeers(settings.links, self._clock)
        self._origins = OriginKeeper(
            KeeperParts(store, peers, self._clock, settings.lifetime, settings.listen),
            StreamOrigins(),
        )
        self._allocator = Allocator(
            AllocatorContext(
                settings.lifetime, settings.listen, store, self._clock, peers, settings.allocator
            )
        )

    async def run(self) -> None:
        """Answer until a signal says stop."""
        settings = self._settings
        async with (
            serve_calls(self._handlers(), settings.listen, settings.links),
            anyio.create_task_group() as group,
        ):
            events.STARTED.log(address=settings.listen, http_address='')
            group.start_soon(self._signals.run)
            for part in (self._renew_entry, self._allocator.run, self._polls.run):
                group.start_soon(keep, part.__qualname__, part)
            await self._signals.stopping.wait()
            await self._stop()
            group.cancel_scope.cancel()
        events.STOPPED.log(instance=settings.instance)

    def state(self) -> dict[str, Any]:
        """Return the state for operators."""
        return {
            'instance': self._settings.instance,
            'lifetime': self._settings.lifetime,
            'grants': self._allocator.dump(),
        }

    async def _stop(self) -> None:
        """Give grants back, at once and when the routers have given back what they hold."""
        events.LEAVING.log(instance=self._settings.instance)
        await self._entry.remove()
        await self._origins.hand_over()
        await self._give_back()
        # Routers look every second, and give back here what they do not need.
        await anyio.sleep(RETURN_S)
        await self._origins.hand_over()
        await self._give_back()

    async def _give_back(self) -> None:
        with anyio.move_on_after(RELEASE_S):
            await self._allocator.release()

    async def _renew_entry(self) -> None:
        await self._entry.run(SIDECAR_RENEW_S)

    def _handlers(self) -> Handlers:
        handlers = Handlers()
        answer_store(handlers, self._polls, self._clock)
        self._allocator.register(handlers)
        self._origins.register(handlers)
        ReportAggregator(self._clock, self._settings.lifetime).register(handlers)
        serve_admission(handlers, EngineAdmission(), self._clock)
        return handlers
