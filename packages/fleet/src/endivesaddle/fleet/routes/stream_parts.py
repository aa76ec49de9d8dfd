"""The parts by which a router's streams continue where they began."""

from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.ports import Handlers, Peers
from endivesaddle.fleet.routes.instance_directory import InstanceDirectory
from endivesaddle.fleet.routes.origin_copies import CopiedParts, OriginCopies
from endivesaddle.fleet.routes.origin_keeper import KeeperParts, OriginKeeper
from endivesaddle.fleet.routes.remote_store import ForwardStore
from endivesaddle.fleet.routes.routing_state import RoutingState, StoreStatus
from endivesaddle.fleet.routes.stream_resumption import ResumptionParts, StreamResumption
from endivesaddle.fleet.routes.version_register import VersionRegister
from endivesaddle.fleet.routing.stream_origins import StreamOrigins


class StreamContext(NamedTuple):
    """The state and ports of the router."""

    routing_state: RoutingState
    store_status: StoreStatus
    directory: InstanceDirectory
    store: ForwardStore
    peers: Peers
    clock: Clock


class StreamParts:
    """The origins of one router's streams, the record of versions, and copies at others."""

    def __init__(self, context: StreamContext, lifetime: str, address: str) -> None:
        """Build the parts of the router ``lifetime``, which others reach at ``address``."""
        clock, peers = context.clock, context.peers
        origins = StreamOrigins()
        self.copies = OriginCopies(
            CopiedParts(
                context.routing_state, context.store_status, context.directory, peers, clock
            ),
            origins,
        )
        self._register = VersionRegister(context.store, context.routing_state, clock, lifetime)
        self._keeper = OriginKeeper(
            KeeperParts(context.store, peers, clock, lifetime, address), origins
        )
        self.resumption = StreamResumption(
            clock, ResumptionParts(origins, self._register, self.copies)
        )

    def register(self, handlers: Handlers) -> None:
        """Answer other routers, which ask this one if there are no sidecars."""
        self._keeper.register(handlers)

    async def run(self) -> None:
        """Keep the record and the copies until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._register.run)
            group.start_soon(self.copies.run)
