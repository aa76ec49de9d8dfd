"""A sidecar of a test fleet: store calls and polls for routers, and a board."""

import asyncio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes.instance_directory import (
    SIDECAR,
    SIDECAR_LEASE_S,
    Instance,
    InstanceEntry,
)
from endivesaddle.fleet.routes.origin_keeper import KeeperParts, OriginKeeper
from endivesaddle.fleet.routes.remote_store import answer_store
from endivesaddle.fleet.routes.report_aggregator import ReportAggregator
from endivesaddle.fleet.routes.shared_polls import SharedPolls
from endivesaddle.fleet.routing.stream_origins import StreamOrigins
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore


class MemorySidecar:
    """One incarnation of a sidecar, reached at ``address``."""

    def __init__(self, name: str, address: str, net: MemoryNet, store: MemoryStore) -> None:
        """Initialize without serving; ``start`` does that."""
        self._clock = LoopClock()
        self._name = name
        self._address = address
        self._net = net
        self._store = store
        self._polls = SharedPolls(store, self._clock)
        self._origins = OriginKeeper(
            KeeperParts(store, net.peers(address), self._clock, name, address), StreamOrigins()
        )

    async def start(self) -> None:
        """Serve, and register in the store."""
        handlers = Handlers()
        answer_store(handlers, self._polls, self._clock)
        ReportAggregator(self._clock, self._name).register(handlers)
        self._origins.register(handlers)
        self._net.serve(self._address, handlers)
        self._polling = asyncio.ensure_future(self._polls.run())
        own = Instance(SIDECAR, self._name, self._address, 'porto-a')
        await InstanceEntry(self._store, self._clock, own, SIDECAR_LEASE_S).renew()

    async def stop(self) -> None:
        """Stop gracefully."""
        await self._origins.hand_over()
        self._net.kill(self._address)
        self._polling.cancel()
