"""Ask routers what they hold of lives of this keeper that ended.

Load pattern: a keeper is killed and is back within a second, and routers are killed soon after.
What the life before had given to nobody is free once each router on record has told what it holds;
one that is killed before it told keeps all of that out of reach.  Routers call at their own time,
when they are many only after seconds, so that the next life asks them as soon as it is there.
"""

from collections import defaultdict
from collections.abc import Sequence

import anyio
import msgspec

from endivesaddle.fleet.errors import FleetError
from endivesaddle.fleet.routes import sidecar_events as events
from endivesaddle.fleet.routes.grant_group import PREFIX, AllocatorContext, GrantGroup
from endivesaddle.fleet.routes.grants import decode
from endivesaddle.fleet.routes.instance_directory import PREFIX as INSTANCES
from endivesaddle.fleet.routes.instance_directory import ROUTER, Instance
from endivesaddle.wire import rpcs
from endivesaddle.wire.routers_pb2 import HeldRequest

ASK_S = 0.3
"""After the first round, while a router has not told yet; doubled after each.

Where all instances were killed nobody is left to tell, and all would go on asking."""
ASKED_S = 20.0
"""Routers are asked for so long: one that has not answered by then is gone, or calls by itself."""
CALL_S = 0.5
CALLS = 32
"""Routers that are asked at once."""


class ClaimCollector:
    """One keeper's questions to routers, in the first seconds of its life."""

    def __init__(self, life: AllocatorContext, groups: Sequence[GrantGroup]) -> None:
        """Ask for ``life``, and hand the answers to ``groups``."""
        self._life = life
        self._groups = groups
        self._unclaimed: dict[str, set[str]] = defaultdict(set)
        self._calls = anyio.CapacityLimiter(CALLS)

    async def run(self) -> None:
        """Ask until all routers on record have told, or have had their time."""
        end_unix_s = self._life.clock.now_s() + ASKED_S
        pause_s = ASK_S
        read = False
        while self._life.clock.now_s() < end_unix_s:
            try:
                if not read:
                    await self._read()
                    read = True
                if not self._unclaimed:
                    return
                await self._ask_all()
            except (FleetError, ValueError) as error:
                # What is in the store may be unreadable: no reason to end with it.
                events.HELD_UNASKED.log(reason=str(error))
            await anyio.sleep(pause_s)
            pause_s *= 2

    async def _read(self) -> None:
        """Learn which routers ended lives may have given tokens to; a copy may be seconds old."""
        life = self._life
        for stored in await life.store.list_stale(PREFIX, life.clock.now_s() + CALL_S):
            records = decode(stored.value or b'')
            for name, ended in records.ended_at(life.address, life.lifetime).items():
                for router in ended.routers:
                    self._unclaimed[router].add(name)

    async def _ask_all(self) -> None:
        addresses = await self._addresses()
        async with anyio.create_task_group() as calls:
            for router in self._unclaimed.keys() & addresses.keys():
                calls.start_soon(self._ask, router, addresses[router])

    async def _addresses(self) -> dict[str, str]:
        """Return where routers are reached, by lifetime."""
        prefix = f'{INSTANCES}{ROUTER}/'
        found = await self._life.store.list_stale(prefix, self._life.clock.now_s() + CALL_S)
        try:
            routers = [msgspec.json.decode(stored.value or b'', type=Instance) for stored in found]
        except msgspec.DecodeError as error:
            raise ValueError(f'not entries of routers: {error}') from error
        return {router.lifetime: router.address for router in routers}

    async def _ask(self, router: str, address: str) -> None:
        peers = self._life.peers
        if peers is None:
            return
        ended = sorted(self._unclaimed[router])
        async with self._calls:
            deadline_unix_s = self._life.clock.now_s() + CALL_S
            try:
                reply = await peers.call(
                    address, rpcs.HELD, HeldRequest(ended=ended), deadline_unix_s
                )
            except (FleetError, TimeoutError):
                # Asked again in the next round.
                return
        if reply.lifetime != router:
            # Another life is at its address: the one on record can't tell any more.
            del self._unclaimed[router]
            return
        del self._unclaimed[router]
        for claim in reply.claims:
            for group in self._groups:
                group.claim(claim.keeper, router, dict(claim.out))
        events.HELD_TOLD.log(router=router, ended=ended, unclaimed=len(self._unclaimed))
