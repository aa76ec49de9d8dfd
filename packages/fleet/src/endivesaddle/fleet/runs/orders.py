"""Orders to the engine beside this sidecar: fenced, and corrected where it ignores fences."""

import contextlib
from typing import Any

import anyio
import msgspec

from endivesaddle.fleet.clock import Clock, left_s
from endivesaddle.fleet.configuration import BackendServer
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import BackendServerClient, NeverSent, ServerLost
from endivesaddle.fleet.ports import Handlers, Store
from endivesaddle.fleet.runs.events import ORDER_CORRECTED, ORDER_DONE, ORDER_REFUSED
from endivesaddle.fleet.runs.order_lease import OrderLease
from endivesaddle.fleet.runs.order_state import LOAD, ROLE, UNLOAD, Kept, OrderStore, Wanted
from endivesaddle.fleet.runs.settings import RunSettings
from endivesaddle.wire import rpcs, runs_pb2

KINDS = frozenset((LOAD, UNLOAD, ROLE))
MOST_REMEMBERED = 64
EXTENDS_IN_A_LEASE = 3


class OrderKeeper:
    """The only one that gives its engine an order, one at a time.

    An order with a fencing number below the highest seen is refused here, also
    after a restart: each number is compared with the store's before it counts as seen.
    An engine that checks numbers refuses late ones itself.  For one that ignores
    them the keeper holds a lease, bounds each order, and goes on reading the
    engine's state back: an order of a paused predecessor may come at any time.
    """

    def __init__(
        self,
        settings: RunSettings,
        store: Store,
        client: BackendServerClient,
        server: BackendServer,
        identity: Identity,
        clock: Clock,
    ) -> None:
        """Keep the orders of ``server``."""
        self.highest_fence = 0
        self._settings = settings
        self._client = client
        self._server = server
        self._clock = clock
        self._kept = OrderStore(store, server.name, clock)
        self._lease = OrderLease(store, server.name, identity, settings.order_lease_s, clock)
        self._wanted = Wanted()
        self._learned = False
        self._done: dict[tuple[int, str], runs_pb2.OrderReply] = {}
        self._turn = anyio.Lock()

    def register(self, handlers: Handlers) -> None:
        """Answer the call of runs.proto for orders."""
        handlers.answer(rpcs.ORDER, self.order)

    async def run(self) -> None:
        """Read the engine's state back until cancelled, if it ignores fencing numbers."""
        while not self._server.checks_orders:
            await anyio.sleep(self._settings.order_read_back_s)
            # Without the store the lease can't be checked: it is looked at again soon.
            with contextlib.suppress(
                StoreUnreachable, StoreWriteUnconfirmed, ServerLost, NeverSent
            ):
                await self.read_back()

    async def order(self, message: runs_pb2.OrderRequest) -> runs_pb2.OrderReply:
        """Give an order, or refuse it; the reply tells the highest number seen."""
        async with self._turn:
            try:
                reply = await self._give(message)
            except (StoreUnreachable, StoreWriteUnconfirmed) as error:
                reply = _refused('store_unreachable', str(error))
        reply.highest_fence = self.highest_fence
        if reply.done:
            ORDER_DONE.log(order_id=message.order_id, fence=message.fence)
            self._remember(message, reply)
        else:
            ORDER_REFUSED.log(order_id=message.order_id, code=reply.code, fence=message.fence)
        return reply

    async def read_back(self) -> None:
        """Compare the engine with what was ordered, and order again what differs.

        The look costs the store nothing; only a difference is checked against it.
        """
        async with self._turn:
            await self._learn()
            load = await self._client.load()
            if any(self._wanted.missing(load)) and await self._lease.hold():
                # Another sidecar may have been given orders since: its are the newest.
                self._wanted = (await self._kept.read_wanted()).wanted
                await self._correct(load)

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump of the process."""
        return {
            'highest_fence': self.highest_fence,
            'checked_by_engine': self._server.checks_orders,
            'wanted': msgspec.to_builtins(self._wanted),
        }

    async def _give(self, message: runs_pb2.OrderRequest) -> runs_pb2.OrderReply:
        await self._learn()
        known = self._done.get((message.fence, message.order_id))
        if known is not None:
            return known
        if message.kind not in KINDS:
            return _refused('unknown_kind', f'{message.kind!r} is none of {sorted(KINDS)}')
        if message.fence > self.highest_fence:
            # After a restart this is what tells of numbers that were seen before it.
            self.highest_fence = await self._kept.raise_fence(message.fence)
        if message.fence < self.highest_fence:
            return _refused('old_fence', f'{message.fence} is older than {self.highest_fence}')
        if self._server.checks_orders:
            return await self._send(message)
        return await self._give_guarded(message)

    async def _give_guarded(self, message: runs_pb2.OrderRequest) -> runs_pb2.OrderReply:
        if not await self._lease.hold():
            return _refused('lease_held', 'another sidecar orders this engine')
        kept = await self._kept.read_wanted()
        wanted = kept.wanted.after(message)
        if kept.wanted.fence > message.fence:
            return _refused('old_fence', f'{message.fence} is older than {kept.wanted.fence}')
        try:
            return await self._give_wanted(message, kept, wanted)
        except (StoreUnreachable, StoreWriteUnconfirmed) as error:
            # It may be wanted by now, and is then carried out by whoever reads back.
            self._learned = False
            return _refused('unknown', str(error))

    async def _give_wanted(
        self, message: runs_pb2.OrderRequest, kept: Kept, wanted: Wanted
    ) -> runs_pb2.OrderReply:
        if not await self._kept.write_wanted(wanted, kept.version):
            return _refused('lease_held', 'another sidecar ordered this engine meanwhile')
        self._wanted = wanted
        # The writes may have waited long: the lease is looked at right before the order.
        reply = _refused('lease_lost', 'the lease lapsed before the order')
        if await self._lease.extend():
            reply = await self._send_under_lease(message)
        await self._look_after(message, kept, reply)
        return reply

    async def _look_after(
        self, message: runs_pb2.OrderRequest, before: Kept, reply: runs_pb2.OrderReply
    ) -> None:
        if not reply.done and reply.code != 'unknown':
            # The engine said no, or never heard of it: it must not be ordered again
            # behind the back of whoever was told so.
            current = await self._kept.read_wanted()
            if current.wanted == self._wanted:
                undone = Wanted(message.fence, before.wanted.models, before.wanted.role)
                await self._kept.write_wanted(undone, current.version)
                self._wanted = undone
            return
        # Where engine or store can't be reached the background reads back soon again.
        with contextlib.suppress(ServerLost, NeverSent, StoreUnreachable, StoreWriteUnconfirmed):
            await self._correct(await self._client.load())

    async def _send_under_lease(self, message: runs_pb2.OrderRequest) -> runs_pb2.OrderReply:
        reply = _refused('unknown', 'the lease lapsed within the order')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_lease, tasks.cancel_scope)
            reply = await self._send(message)
            tasks.cancel_scope.cancel()
        return reply

    async def _keep_lease(self, order: anyio.CancelScope) -> None:
        while True:
            await anyio.sleep(self._settings.order_lease_s / EXTENDS_IN_A_LEASE)
            try:
                alive = await self._lease.extend()
            except (StoreUnreachable, StoreWriteUnconfirmed):
                alive = False
            if not alive:
                order.cancel()
                return

    async def _send(self, message: runs_pb2.OrderRequest) -> runs_pb2.OrderReply:
        latest_unix_s = self._clock.now_s() + self._settings.order_deadline_s
        bounded = runs_pb2.OrderRequest()
        bounded.CopyFrom(message)
        bounded.deadline_unix_s = min(message.deadline_unix_s or latest_unix_s, latest_unix_s)
        if bounded.deadline_unix_s <= self._clock.now_s():
            return _refused('deadline_passed', 'the deadline has passed')
        try:
            with anyio.move_on_after(left_s(self._clock, bounded.deadline_unix_s)):
                return await self._client.order(bounded)
        except NeverSent as error:
            return _refused('not_sent', str(error))
        except ServerLost as error:
            return _refused('unknown', str(error))
        return _refused('unknown', 'the engine did not answer by the deadline')

    async def _correct(self, load: runs_pb2.Load) -> None:
        for kind, argument in self._wanted.missing(load):
            if not await self._lease.hold():
                return
            ORDER_CORRECTED.log(server=self._server.name, kind=kind, argument=argument)
            await self._send_under_lease(
                runs_pb2.OrderRequest(kind=kind, argument=argument, fence=self._wanted.fence)
            )

    async def _learn(self) -> None:
        if not self._learned:
            self._wanted = (await self._kept.read_wanted()).wanted
            self._learned = True

    def _remember(self, message: runs_pb2.OrderRequest, reply: runs_pb2.OrderReply) -> None:
        self._done[message.fence, message.order_id] = reply
        if len(self._done) > MOST_REMEMBERED:
            self._done.pop(next(iter(self._done)))


def _refused(code: str, reason: str) -> runs_pb2.OrderReply:
    return runs_pb2.OrderReply(code=code, reason=reason)
