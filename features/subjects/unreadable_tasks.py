"""Subject: tasks of the fleet that meet unreadable values in the store."""

import anyio
import msgspec

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.routes.allocator import Allocator
from endivesaddle.fleet.routes.failover_store import FailoverStore
from endivesaddle.fleet.routes.grant_group import PREFIX as GRANTS
from endivesaddle.fleet.routes.grant_group import AllocatorContext, group_of
from endivesaddle.fleet.routes.instance_directory import (
    PREFIX,
    ROUTER,
    Instance,
    InstanceDirectory,
)
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from endivesaddle.wire.routers_pb2 import DrawRequest, DrawWord
from subjects.unreadable import VALUES

ACCOUNT = 'ateliers'
KEY = f'{GRANTS}{group_of(ACCOUNT)}'


def listed_beside(value: bytes) -> set[str]:
    """Return the other instances that one lists while the store holds an unreadable entry."""

    async def main() -> set[str]:
        clock = LoopClock()
        memory = MemoryStore(clock)
        store = FailoverStore(memory, MemoryNet(clock).peers('a'), clock)
        memory.put(f'{PREFIX}router/other', value)
        near = Instance(ROUTER, 'near', '10.0.0.2:1', 'one')
        memory.put(f'{PREFIX}router/near', msgspec.json.encode(near))
        directory = InstanceDirectory(store, clock, Instance(ROUTER, 'own', '10.0.0.1:1', 'one'))
        async with anyio.create_task_group() as group:
            group.start_soon(directory.run)
            await anyio.sleep(3)
            group.cancel_scope.cancel()
        return set(directory.others)

    return virtual.run(main)


class AllocatorBesideUnreadable:
    """An allocator whose record holds one unreadable value after the other."""

    def __init__(self) -> None:
        """Initialize without results."""
        self.given: list[int] = []
        self.left: list[bytes | None] = []
        self.given_later = 0

    def draw(self) -> None:
        """Ask for tokens beside each value, and at the end without one."""
        virtual.run(self._draw_all)

    async def _draw_all(self) -> None:
        clock = LoopClock()
        store = MemoryStore(clock)
        allocator = Allocator(AllocatorContext('sidecar', '10.0.0.9:1', store, clock))
        async with anyio.create_task_group() as group:
            store.put(KEY, VALUES['cut short'])
            group.start_soon(allocator.run)
            for value in VALUES.values():
                if value:
                    store.put(KEY, value)
                    self.given.append(await _drawn(allocator))
                    kept = store.kept(KEY)
                    self.left.append(kept.value if kept else None)
            store.remove(KEY)
            await anyio.sleep(5)
            self.given_later = await _drawn(allocator)
            group.cancel_scope.cancel()


async def _drawn(allocator: Allocator) -> int:
    await anyio.sleep(1)
    word = DrawWord(account=ACCOUNT, needed=100, wanted=100, total=1_000_000)
    request = DrawRequest(lifetime='router', groups=[group_of(ACCOUNT)], words=[word])
    reply = await allocator.draw(request)
    return reply.answers[0].drawn
