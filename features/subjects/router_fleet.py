"""Common base of subjects with several routers, a store and sidecars on one event loop."""

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.cut_router import CutRouter
from subjects.links_loop import ScenarioLoop
from subjects.memory_sidecar import MemorySidecar


class RouterFleet:
    """A store and sidecars; each call runs on one event loop in virtual time."""

    def __init__(self, sidecars: int) -> None:
        """Initialize without routers."""
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self._store = MemoryStore(self._clock)
        self._net = MemoryNet(self._clock)
        self._sidecars = [
            MemorySidecar(f's{number}', f'10.0.1.{number}:1', self._net, self._store)
            for number in range(sidecars)
        ]
        self._routers: list[CutRouter] = []

    def close(self) -> None:
        """Close the event loop."""
        self._loop.close()

    def sleep(self, seconds: float) -> None:
        """Let virtual time pass."""
        self._loop.run(anyio.sleep, seconds)

    def lose_store(self, lost: bool) -> None:
        """Make the store unavailable to all instances, or available again."""
        self._store.fail(lost)

    async def _start_sidecars(self) -> None:
        for sidecar in self._sidecars:
            await sidecar.start()
