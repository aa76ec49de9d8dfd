"""Subject: streams that are taken up again and again while everything around them fails."""

from collections import Counter
from random import Random

import anyio

from endivesaddle.fleet.routes.running import Runner
from subjects.resumed_streams import StreamCaller, StreamFleet

STEPS = 24
STEP_S = 0.7
ROUTERS = 3
SIDECARS = 4
KEPT_VERSIONS = 3


class StreamChaos(StreamFleet):
    """One seeded play of faults and releases, each of which may come at any moment."""

    def __init__(self, seed: int) -> None:
        """Initialize with servers of one version."""
        super().__init__(ROUTERS, SIDECARS)
        self.counts: Counter[str] = Counter()
        self._random = Random(seed)
        self._versions = ['v1']
        self._last_version = 1
        self._dead: set[int] = set()
        self._at: dict[StreamCaller, int] = {}
        self.serve(3, 'v1')

    def play(self) -> None:
        """Play all steps, then heal everything and let callers come back for a last time."""
        self._loop.run(self._play)

    async def _play(self) -> None:
        steps = (
            self._release, self._retire, self._kill_router, self._start_routers, self._kill_sidecar,
            self._stop_sidecar, self._cut, self._heal, self._toggle_store, self._cut_store,
            self._crash_server, self._break_callers,
        )  # fmt: skip
        for _ in range(STEPS):
            await self._random.choice(steps)()
            self._begin_some()
            await self._return_all()
            await anyio.sleep(STEP_S)
        await self._heal()
        self._store.fail(False)
        await self._start_routers()
        await anyio.sleep(STEP_S)
        await self._return_all()
        for caller in self.callers:
            if caller.waits():
                await caller.wait()

    def _begin_some(self) -> None:
        for caller in [StreamCaller(self._numbers) for _ in range(3)]:
            self.callers.append(caller)
            self._try(caller)

    async def _return_all(self) -> None:
        for caller in self.callers:
            if not caller.waits():
                await caller.disconnect()
                if caller.may_return(self._clock.now_s()):
                    self._try(caller)

    def _try(self, caller: StreamCaller) -> None:
        """Send a caller's request to a router that runs, if there is one."""
        running = [one for one in range(ROUTERS) if one not in self._dead]
        if not running:
            return
        number = self._random.choice(running)
        self._at[caller] = number
        runner: Runner = self._runners[number]
        self.counts['taken up' if caller.last_event >= 0 else 'begun'] += 1
        caller.start(runner, self._clock.now_s())

    async def _release(self) -> None:
        self._last_version += 1
        self._versions.append(f'v{self._last_version}')
        await self._serve(2, self._versions[-1], 'engines')

    async def _retire(self) -> None:
        if len(self._versions) >= KEPT_VERSIONS:
            await self._leave(self._versions.pop(0))

    async def _kill_router(self) -> None:
        number = self._random.randrange(ROUTERS)
        self._dead.add(number)
        self._routers[number].kill()
        for caller, at in self._at.items():
            if at == number:
                await caller.disconnect()

    async def _start_routers(self) -> None:
        for number in sorted(self._dead):
            self._start_router(number)
        self._dead.clear()

    async def _kill_sidecar(self) -> None:
        number = self._random.randrange(SIDECARS)
        self._net.kill(f'10.0.1.{number}:1')
        if not self._store.down:
            self._sidecars[number] = await self._start_sidecar(number)

    async def _stop_sidecar(self) -> None:
        number = self._random.randrange(SIDECARS)
        await self._sidecars[number].stop()
        if not self._store.down:
            self._sidecars[number] = await self._start_sidecar(number)

    async def _cut(self) -> None:
        addresses = [f'10.0.0.{number}:1' for number in range(ROUTERS)]
        addresses += [f'10.0.1.{number}:1' for number in range(SIDECARS)]
        one = set(self._random.sample(addresses, len(addresses) // 2))
        self._net.part(one, set(addresses) - one)

    async def _heal(self) -> None:
        self._net.heal()
        for router in self._routers:
            router.cut.cut = False

    async def _toggle_store(self) -> None:
        self._store.fail(not self._store.down)

    async def _cut_store(self) -> None:
        self._random.choice(self._routers).cut.cut = True

    async def _crash_server(self) -> None:
        lifetime = self._random.choice(sorted(self.servers.running))
        self.servers.running[lifetime].set()

    async def _break_callers(self) -> None:
        for caller in self.callers:
            if self._random.getrandbits(1):
                await caller.disconnect()
