"""A small fleet around the budgets, in one process and in virtual time.

Routers have budgets and the thinnest of fronts; sidecars have runs without an
engine.  What the sidecars ran is the truth that bills are compared with.
"""

from collections.abc import Iterable

import anyio
from anyio.abc import TaskGroup

from endivesaddle.fleet.budgets.assignment import ShardAssignment
from endivesaddle.fleet.budgets.settings import BudgetSettings
from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.configuration import Account, BackendServer, Configuration, shard_of
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.sentinels import NotHolder, Refusal
from endivesaddle.stand_ins.budget_links import LinkedPeers, LinkedStore, LinkedView
from endivesaddle.stand_ins.budget_sidecars import FakeSidecar, Truth
from endivesaddle.stand_ins.budget_variants import EVERYWHERE, VARIANTS, Links, OnePlaceView
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from endivesaddle.wire import holders_pb2, members_pb2, rpcs


class FleetRouter:
    """A router of the fleet: budgets, and claims without a claims part."""

    def __init__(
        self, identity: Identity, store: LinkedStore, view: LinkedView, fleet: 'BudgetFleet'
    ) -> None:
        """Answer at the identity's address."""
        self.identity = identity
        self.store = store
        self.peers = LinkedPeers(fleet.net.peers(identity.address), store)
        links = Links(fleet.settings, identity, store, self.peers, view, fleet.clock, fleet.shards)
        self.budgets = fleet.variant.build(links)
        self.scope = anyio.CancelScope()
        handlers = Handlers()
        self.budgets.handlers(handlers)
        handlers.answer(rpcs.CLAIM, self.claim)
        handlers.answer(rpcs.SETTLE, self.settle)
        handlers.answer(rpcs.SEAL_CLAIMS, self.seal)
        fleet.net.serve(identity.address, handlers)

    @property
    def member(self) -> members_pb2.Member:
        """The router as the others see it."""
        return members_pb2.Member(
            instance=self.identity.instance,
            role='router',
            data_centre=self.identity.data_centre,
            address=self.identity.address,
            incarnation=self.identity.incarnation,
        )

    async def run(self) -> None:
        """Run the budgets until the router is killed."""
        with self.scope:
            await self.budgets.run()

    async def claim(self, message: holders_pb2.ClaimRequest) -> holders_pb2.ClaimReply:
        """Reserve, as the claims part would."""
        given = await self.budgets.reserve(
            message.account, message.request_key, message.bound_tokens, message.deadline_unix_s
        )
        if isinstance(given, Refusal):
            return holders_pb2.ClaimReply(verdict='refused', code=given.code, reason=given.reason)
        if isinstance(given, NotHolder):
            return holders_pb2.ClaimReply(verdict='not_holder', holder=given.holder)
        record = holders_pb2.Record(
            request_key=message.request_key,
            account=message.account,
            shard=given.shard,
            data_centre=given.data_centre,
            epoch=given.epoch,
            batch=given.batch,
            bound_tokens=message.bound_tokens,
        )
        return holders_pb2.ClaimReply(verdict='granted', record=record)

    async def settle(self, message: holders_pb2.SettleRequest) -> holders_pb2.SettleReply:
        """Settle with the budgets, where they hold the shard."""
        held = self.budgets.held(message.account)
        if isinstance(held, NotHolder) or held.epoch < message.epoch:
            return holders_pb2.SettleReply(settled=False)
        epoch = message.epoch or held.epoch
        billed = self.budgets.settle(
            message.account, message.request_key, epoch, message.used_tokens
        )
        return holders_pb2.SettleReply(settled=True, billed_tokens=billed)

    async def seal(self, message: holders_pb2.SealRequest) -> holders_pb2.SealReply:
        """Seal the budgets."""
        return holders_pb2.SealReply(
            sealed=True,
            instance=self.identity.instance,
            incarnation=str(self.identity.incarnation),
            records=await self.budgets.seal(message),
        )


class BudgetFleet:
    """Routers and sidecars in some data centres, one store and one network."""

    def __init__(
        self,
        tasks: TaskGroup,
        settings: BudgetSettings,
        data_centres: Iterable[str],
        accounts: Iterable[str],
        sizes: tuple[int, int] = (2, 2),
        variant: str = 'this design',
    ) -> None:
        """Start ``sizes`` routers and sidecars in each data centre."""
        self.variant = VARIANTS.find(variant)
        self.tasks = tasks
        self.settings = settings
        self.clock = LoopClock()
        self.store = MemoryStore(self.clock)
        self.net = MemoryNet(self.clock)
        self.truth = Truth()
        self.data_centres = list(data_centres)
        names = list(accounts)
        self.shards = {shard_of(account) for account in names}
        self.members: list[members_pb2.Member] = []
        self.routers: dict[str, FleetRouter] = {}
        self.sidecars: dict[str, FakeSidecar] = {}
        self.configuration = _configuration(self.data_centres, names, sizes[1])
        self.view = LinkedView(self.members, self.configuration)
        nobody = Identity('', 'sidecar', '', '', '', 1)
        seen = OnePlaceView(self.view) if EVERYWHERE in self.places else self.view
        self._responsible = ShardAssignment(nobody, seen)
        for server in self.configuration.servers:
            self.start_sidecar(server)
        for data_centre in self.data_centres:
            for number in range(sizes[0]):
                self.start_router(data_centre, f'{data_centre}-router-{number}')

    def start_sidecar(self, server: str, incarnation: int = 1) -> FakeSidecar:
        """Start the sidecar beside a server; a higher incarnation replaces the one before."""
        before = self.sidecars.get(server)
        if before is not None:
            before.scope.cancel()
        data_centre = self.configuration.servers[server].data_centre
        member = members_pb2.Member(
            instance=f'{server}-sidecar',
            role='sidecar',
            data_centre=data_centre,
            address=f'{server}:1',
            incarnation=incarnation,
            server=server,
        )
        self._enter(member)
        sidecar = FakeSidecar(member, self.net, self.clock, self.truth, self.settle_at)
        self.sidecars[server] = sidecar
        self.tasks.start_soon(sidecar.run)
        return sidecar

    @property
    def places(self) -> tuple[str, ...]:
        """Where requests are claimed: the data centres, or what a variant has instead."""
        return self.variant.places or tuple(self.data_centres)

    def settle_at(self, shard: int, place: str) -> str:
        """Return the address of the router where a sidecar settles."""
        if place in self.places:
            return self._responsible.address(shard, place)
        return place

    def start_router(self, data_centre: str, name: str, incarnation: int = 1) -> FleetRouter:
        """Start a router; a higher incarnation replaces the one before."""
        if name in self.routers:
            self.kill(name)
        address = f'{name}:1'
        identity = Identity(name, 'router', data_centre, 'region', address, incarnation)
        router = FleetRouter(identity, LinkedStore(self.store, self.tasks), self.view, self)
        self._enter(router.member)
        self.routers[name] = router
        self.tasks.start_soon(router.run)
        return router

    def kill(self, name: str) -> None:
        """Kill a router; it stays in view until ``forget``."""
        router = self.routers.pop(name)
        router.scope.cancel()
        self.net.kill(router.identity.address)

    def pause(self, name: str) -> None:
        """Pause a router: it answers and sends nothing, and knows nothing of it."""
        router = self.routers[name]
        router.store.paused = anyio.Event()
        self.net.paused.add(router.identity.address)

    def resume(self, name: str) -> None:
        """Let a paused router go on where it stood."""
        router = self.routers[name]
        self.net.paused.discard(router.identity.address)
        if router.store.paused is not None:
            router.store.paused.set()
            router.store.paused = None
        self._enter(router.member)

    def forget(self, name: str) -> None:
        """Take an instance out of view."""
        for member in list(self.members):
            if member.instance == name:
                self.members.remove(member)

    def holder(self, account: str, data_centre: str) -> FleetRouter:
        """Return the router that should hold an account's shard."""
        router = next(iter(self.routers.values()))
        address = router.budgets.holder_address(account, data_centre)
        return self.routers[address.removesuffix(':1')]

    def addresses(self, data_centre: str) -> set[str]:
        """Return all addresses in a data centre."""
        return {member.address for member in self.members if member.data_centre == data_centre}

    def _enter(self, member: members_pb2.Member) -> None:
        self.forget(member.instance)
        self.members.append(member)


def _configuration(
    data_centres: list[str], accounts: Iterable[str], sidecars: int
) -> Configuration:
    servers = {}
    for data_centre in data_centres:
        for number in range(sidecars):
            name = f'{data_centre}-server-{number}'
            servers[name] = BackendServer(name, data_centre, '', 'engine')
    names = {account: Account(account) for account in accounts}
    return Configuration(1, accounts=names, servers=servers)
