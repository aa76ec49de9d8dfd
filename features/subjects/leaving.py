"""Instances and backend servers that leave while requests keep coming."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio

from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.memory_fleet import open_fleet
from subjects.leaving_load import Load, Sent
from subjects.leaving_plays import notices, stop
from subjects.trace_firm import Firm, World, is_whole, text_of

ACCOUNT = 'ateliers-do-norte'
WARM_S = 6.0
AFTER_S = 8.0
PARTED_S = 12.0
SEEN_GONE_S = 15.0
"""By then the routers choose no server on the other side of a partition any more."""
TOKENS = 60
FIRM = Firm(
    data_centres=('porto-a', 'porto-b', 'porto-c'),
    routers=2,
    engines=(2, 2, 2),
    services=(1, 1, 1),
    models=('board',),
    service='palette',
    cost_tokens=5,
    accounts={ACCOUNT: 10_000_000},
    answer_tokens=TOKENS,
)
Play = Callable[[World, Load], Awaitable[None]]


class Found(NamedTuple):
    """What came of a play; times are in seconds after the notice."""

    sent: list[Sent]
    cut: list[str]
    refused: list[str]
    refused_and_run: list[str]
    last_arrival_s: float
    late_arrivals: int
    healed_last_arrival_s: float
    in_force_s: float


class Leaving:
    """Plays one notice under load in a whole fleet."""

    def __init__(self) -> None:
        """Notice nothing yet."""
        self._noticed_unix_s = 0.0
        self._healed_unix_s = 0.0
        self._in_force_unix_s = 0.0

    def stop_router(self) -> Found:
        """Stop a router that has streams open."""
        return self._run('porto-b-llm-1', self._stop_router)

    def drain(self, notice: str, sidecar: str) -> Found:
        """Have a backend server leave by one kind of notice."""

        async def play(world: World, load: Load) -> None:
            self._noticed_unix_s = world.fleet.clock.now_s()
            await notices.find(notice)(world, sidecar)
            await anyio.sleep(AFTER_S)

        return self._run(sidecar, play)

    def drain_parted(self, notice: str, sidecar: str, storeless: bool) -> Found:
        """Have a server of porto-c leave while porto-c is parted, then heal."""

        async def play(world: World, load: Load) -> None:
            addresses = world.fleet.addresses('porto-c')
            everyone = {running.address for running in world.fleet.running.values()}
            world.fleet.net.part(addresses, everyone - addresses)
            if storeless:
                world.fleet.cut_off |= addresses
            await anyio.sleep(SEEN_GONE_S)
            self._noticed_unix_s = world.fleet.clock.now_s()
            await notices.find(notice)(world, sidecar)
            await anyio.sleep(PARTED_S)
            world.fleet.net.heal()
            world.fleet.cut_off.clear()
            self._healed_unix_s = world.fleet.clock.now_s()
            await anyio.sleep(AFTER_S)

        return self._run(sidecar, play)

    def change(self) -> Found:
        """Change the configuration and wait until every instance has it."""
        return self._run('porto-b-llm-1', self._change)

    async def _stop_router(self, world: World, load: Load) -> None:
        self._noticed_unix_s = world.fleet.clock.now_s()
        await stop(world, 'porto-b-router-1')
        await anyio.sleep(AFTER_S)

    async def _change(self, world: World, load: Load) -> None:
        nodes: list[Any] = [running.node for running in world.fleet.running.values()]
        before = max(node.distribution.revision for node in nodes)
        reply = await world.fleet.command(world.routers[0], 'repeat model:board never')
        assert reply['status'] == 0, reply
        self._noticed_unix_s = world.fleet.clock.now_s()
        while min(node.distribution.revision for node in nodes) <= before:
            await anyio.sleep(0.01)
        self._in_force_unix_s = world.fleet.clock.now_s()

    def _run(self, sidecar: str, play: Play) -> Found:
        return virtual.run(lambda: self._play(sidecar, play))

    async def _play(self, sidecar: str, play: Play) -> Found:
        async with open_fleet() as fleet:
            world = World(fleet, FIRM)
            await world.open()
            load = Load(world, ACCOUNT)
            async with anyio.create_task_group() as group:
                group.start_soon(load.run)
                await anyio.sleep(WARM_S)
                await play(world, load)
                load.stop()
            return self._found(load, sidecar)

    def _found(self, load: Load, sidecar: str) -> Found:
        # A partition cuts the streams that cross it; nothing that begins later may be cut.
        since_unix_s = self._noticed_unix_s if self._healed_unix_s else 0
        chosen = [sent for sent in load.sent if sent.began_unix_s >= since_unix_s]
        others = [sent for sent in chosen if not _is_good(sent)]
        refused = [_told(sent) for sent in others if b'"not_run":true' in sent.got.body]
        cut = [_told(sent) for sent in others if b'"not_run":true' not in sent.got.body]
        healed_unix_s = self._healed_unix_s or self._noticed_unix_s
        last_unix_s = load.last_arrival_unix_s(sidecar)
        late = load.arrivals_after(sidecar, self._noticed_unix_s + 3)
        ran = [sent.key for sent in others if load.arrived(sent.key)]
        return Found(
            load.sent,
            cut,
            refused,
            ran,
            round(last_unix_s - self._noticed_unix_s, 3),
            late,
            round(last_unix_s - healed_unix_s, 3),
            round(self._in_force_unix_s - self._noticed_unix_s, 3),
        )


def _is_good(sent: Sent) -> bool:
    return is_whole(sent.got) and len(text_of(sent.got).split()) == TOKENS


def _told(sent: Sent) -> str:
    return f'{sent.router}: {sent.got.status} {sent.got.body[-300:]!r}'
