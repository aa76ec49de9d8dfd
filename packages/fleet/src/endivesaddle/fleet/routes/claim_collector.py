"""Ask routers what they hold of earlier incarnations of this allocator.

Load pattern: an allocator is killed and is back within a second, and routers are killed soon
after.  The tokens that the earlier incarnation had not handed out become free once each router on
record has reported what it holds; if one is killed before it reports, they stay out of reach.
Routers call an allocator at their own pace, with many routers only every few seconds.  The next
incarnation therefore asks them as soon as it starts.
"""

from collections import defaultdict
from collections.abc import Sequence

import anyio

from endivesaddle.fleet.errors import FleetError
from endivesaddle.fleet.routes import sidecar_events as events
from endivesaddle.fleet.routes.grant_group import PREFIX, AllocatorContext, GrantGroup
from endivesaddle.fleet.routes.grants import GrantsUnreadable, decode
from endivesaddle.fleet.routes.instance_directory import PREFIX as INSTANCES
from endivesaddle.fleet.routes.instance_directory import ROUTER, decode_instances
from endivesaddle.fleet.routes.unreadable_values import UnreadableValues
from endivesaddle.wire import rpcs
from endivesaddle.wire.routers_pb2 import HeldRequest

FIRST_PAUSE_S = 0.3
"""Pause after the first round, if a router has not answered; doubled after each round.

When all instances were killed, no router is left to answer, and all allocators would keep asking
at this rate."""
ASKING_S = 20.0
"""Routers are asked for this long; one that has not answered by then is gone or calls by itself."""
TIMEOUT_S = 0.5
MAX_CALLS = 32
"""Routers that are asked at the same time."""


class ClaimCollector:
    """Asks routers, in the first seconds after an allocator has started, for their claims."""

    def __init__(
        self,
        context: AllocatorContext,
        groups: Sequence[GrantGroup],
        unreadable: UnreadableValues,
    ) -> None:
        """Ask on behalf of ``context``, and pass the claims to ``groups``.

        Unreadable values are noted in ``unreadable``.
        """
        self._context = context
        self._groups = groups
        self._unclaimed: dict[str, set[str]] = defaultdict(set)
        self._unreadable = unreadable
        self._calls = anyio.CapacityLimiter(MAX_CALLS)

    async def run(self) -> None:
        """Ask until all routers on record have answered, or ``ASKING_S`` have passed."""
        end_unix_s = self._context.clock.now_s() + ASKING_S
        pause_s = FIRST_PAUSE_S
        read = False
        while self._context.clock.now_s() < end_unix_s:
            try:
                if not read:
                    await self._read()
                    read = True
                if not self._unclaimed:
                    return
                await self._ask_all()
            except FleetError as error:
                events.HELD_UNASKED.log(reason=str(error))
            await anyio.sleep(pause_s)
            pause_s *= 2

    async def _read(self) -> None:
        """Read which routers may hold tokens of ended incarnations; may be seconds old."""
        context = self._context
        found = await context.store.list_stale(PREFIX, context.clock.now_s() + TIMEOUT_S)
        for stored in found.entries:
            try:
                records = decode(stored.value or b'')
            except GrantsUnreadable as error:
                self._unreadable.note(stored, error)
                continue
            for name, ended in records.ended_at(context.address, context.incarnation).items():
                for router in ended.routers:
                    self._unclaimed[router].add(name)

    async def _ask_all(self) -> None:
        addresses = await self._addresses()
        async with anyio.create_task_group() as calls:
            for router in self._unclaimed.keys() & addresses.keys():
                calls.start_soon(self._ask, router, addresses[router])

    async def _addresses(self) -> dict[str, str]:
        """Return the routers' addresses by incarnation."""
        prefix = f'{INSTANCES}{ROUTER}/'
        found = await self._context.store.list_stale(
            prefix, self._context.clock.now_s() + TIMEOUT_S
        )
        routers = decode_instances(found.entries, self._unreadable)
        return {router.incarnation: router.address for router in routers}

    async def _ask(self, router: str, address: str) -> None:
        peers = self._context.peers
        if peers is None:
            return
        ended = sorted(self._unclaimed[router])
        async with self._calls:
            deadline_unix_s = self._context.clock.now_s() + TIMEOUT_S
            try:
                reply = await peers.call(
                    address, rpcs.HELD, HeldRequest(ended=ended), deadline_unix_s
                )
            except (FleetError, TimeoutError):
                # The next round asks again.
                return
        if reply.lifetime != router:
            # Another incarnation runs at the address: the one on record can't answer any more.
            del self._unclaimed[router]
            return
        del self._unclaimed[router]
        for claim in reply.claims:
            for group in self._groups:
                group.claim(claim.keeper, router, dict(claim.out))
        events.HELD_REPORTED.log(router=router, ended=ended, unclaimed=len(self._unclaimed))
