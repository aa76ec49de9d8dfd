"""Subject: the readiness of routers in a fleet in virtual time."""

from collections.abc import Awaitable, Callable

import anyio

from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.memory_caller import Got
from endivesaddle.stand_ins.memory_fleet import MemoryFleet, Place, open_fleet
from subjects import fault_scene

ROUTERS = (Place('r1', 'porto-a'), Place('r2', 'porto-a'))
SERVER = Place('s1', 'porto-a', 'llm-1')
SETTLED_S = 20.0
LOOK_S = 0.02
SLOW_S = 0.2
AT_MOST_S = 60.0


class Readiness:
    """What one router said of itself, look by look."""

    def __init__(self) -> None:
        """Begin with nothing seen."""
        self.said: list[str] = []
        self.held_when_ready = False
        self.ready_after_s = 0.0
        self.got: Got | None = None

    def play(self, plot: Callable[[MemoryFleet], Awaitable[None]]) -> None:
        """Play a plot in a fleet under way."""
        virtual.run(lambda: self._play(plot))

    async def crash(self, fleet: MemoryFleet) -> None:
        """Crash a router, start it again later, and ask it as soon as it is ready."""
        fleet.kill('r1')
        await anyio.sleep(SETTLED_S)
        fleet.store.delay_s = SLOW_S
        fleet.restart('r1')
        await self._until_ready(fleet)
        self.held_when_ready = holds_its_own(fleet, 'r1')
        self.got = await ask(fleet, 'r1')

    async def crash_without_store(self, fleet: MemoryFleet) -> None:
        """Start a router again while the store is down."""
        fleet.kill('r1')
        await anyio.sleep(2)
        fleet.store.fail(down=True)
        fleet.restart('r1')
        await self._until_ready(fleet)

    async def lose_other(self, fleet: MemoryFleet) -> None:
        """Lose the other router, and look on until its shards are taken."""
        held_before = holds_its_own(fleet, 'r1')
        fleet.kill('r2')
        for _ in range(int(SETTLED_S / LOOK_S)):
            self._look(fleet)
            await anyio.sleep(LOOK_S)
        shards = fleet.router('r1').budgets.assignment.own_shards()
        self.held_when_ready = held_before and len(shards) == 64 and holds_its_own(fleet, 'r1')

    async def _play(self, plot: Callable[[MemoryFleet], Awaitable[None]]) -> None:
        async with open_fleet() as fleet:
            fleet.add_routers(*ROUTERS)
            fleet.add_sidecar(SERVER)
            await anyio.sleep(4)
            # A data centre without routers couldn't be asked, and each retry were unsure.
            declared = fault_scene.DECLARATIONS.replace('porto-b = "porto"\n', '')
            text = declared + fault_scene.SERVER.format(name='llm-1', data_centre='porto-a')
            reply = await fleet.command('r1', f'apply file:azulejo.toml base:0\n{text}')
            assert reply['status'] == 0, reply
            await anyio.sleep(SETTLED_S)
            await plot(fleet)

    async def _until_ready(self, fleet: MemoryFleet) -> None:
        began_s = fleet.clock.now_s()
        with anyio.fail_after(AT_MOST_S):
            while not self._look(fleet):
                await anyio.sleep(LOOK_S)
        self.ready_after_s = fleet.clock.now_s() - began_s

    def _look(self, fleet: MemoryFleet) -> bool:
        ready, reason = fleet.router('r1').state.ready()
        self.said.append(reason)
        return ready


def holds_its_own(fleet: MemoryFleet, name: str) -> bool:
    """Tell whether a router holds all shards that are its, and knows their claims."""
    budgets = fleet.router(name).budgets
    shards = budgets.dump()['shards']
    own = {str(shard) for shard in budgets.assignment.own_shards()}
    held = {str(shard) for shard, state in shards.items() if state.get('recovered')}
    return own <= held


async def ask(fleet: MemoryFleet, name: str) -> Got:
    """Ask a router for a completion, as a retry of an earlier attempt."""
    caller = fleet.caller(name, fault_scene.KEY)
    message = {'role': 'user', 'content': 'which board?'}
    body = {'model': 'once', 'max_tokens': 8, 'messages': [message]}
    headers = {'idempotency-key': 'early', 'x-stainless-retry-count': '1'}
    return await caller.post(fault_scene.CHAT, body, headers)
