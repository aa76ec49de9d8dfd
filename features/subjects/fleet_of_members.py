"""A fleet of instances with membership and distribution over stand-ins, in virtual time."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Any, NamedTuple

import anyio
import looptime

from endivesaddle.fleet import revisions
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import Account, Configuration
from endivesaddle.fleet.distribution import Distribution, DistributionSettings
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.membership import Membership, MembershipSettings
from endivesaddle.fleet.ports import Handlers, Stored
from endivesaddle.fleet.sentinels import Absent
from endivesaddle.fleet.view import View
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from endivesaddle.wire import runs_pb2

_LOOK_S = 0.05
_EPOCH_UNIX_S = 1_700_000_000


class Stage:
    """A virtual loop that stands still between the steps of a scenario."""

    def __init__(self) -> None:
        """Start a fleet without instances."""
        self._runner = asyncio.Runner(loop_factory=_new_loop)
        self._end = self._runner.run(_event())
        self.fleet = self.do(self._open())

    def do(self, work: Awaitable[Any]) -> Any:
        """Run one step to its end, with the fleet running beside it."""
        return self._runner.run(work)  # type: ignore[arg-type]

    def call(self, work: Callable[..., Any], *parameters: Any) -> Any:
        """Call a plain function inside the loop, for what asks for the time."""
        return self.do(_called(work, parameters))

    def run_for(self, seconds: float) -> None:
        """Let time pass."""
        self.do(anyio.sleep(seconds))

    def wait(self, condition: Callable[[], bool], most_s: float) -> bool:
        """Let time pass until a condition holds; False when it does not in time."""
        return self.do(_wait(condition, most_s))

    def close(self) -> None:
        """End all instances."""
        self._end.set()
        self.run_for(0)
        self._runner.close()

    async def _open(self) -> 'Fleet':
        opened: list[Fleet] = []
        ready = anyio.Event()
        self._host = asyncio.create_task(self._hold(opened, ready))
        await ready.wait()
        return opened[0]

    async def _hold(self, opened: list['Fleet'], ready: anyio.Event) -> None:
        async with anyio.create_task_group() as group:
            opened.append(Fleet.over_stand_ins(group))
            ready.set()
            await self._end.wait()
            group.cancel_scope.cancel()


async def _called(work: Callable[..., Any], parameters: tuple[Any, ...]) -> Any:
    return work(*parameters)


async def _event() -> anyio.Event:
    return anyio.Event()


async def _wait(condition: Callable[[], bool], most_s: float) -> bool:
    with anyio.move_on_after(most_s):
        while not condition():
            await anyio.sleep(_LOOK_S)
    return condition()


def _new_loop() -> asyncio.AbstractEventLoop:
    return looptime.new_event_loop(start=0, _enabled=True)


class StageClock:
    """The virtual loop's time, also between the steps, while the loop stands still."""

    def __init__(self) -> None:
        """Read the loop that runs now."""
        self._loop = asyncio.get_running_loop()

    def now_s(self) -> float:
        """Return the loop's time as Unix seconds."""
        return _EPOCH_UNIX_S + self._loop.time()


class JumpClock:
    """A clock that one instance can be made to jump ahead on, as after a pause."""

    def __init__(self, clock: Clock) -> None:
        """Start without a jump."""
        self._clock = clock
        self.ahead_s = 0.0

    def now_s(self) -> float:
        """Return the time, with the jumps so far."""
        return self._clock.now_s() + self.ahead_s


class LinkedStore:
    """The store as one instance reaches it.

    ``cut`` has the addresses that can't reach it, ``deaf`` those whose watches
    wait for good without a word.
    """

    def __init__(self, store: MemoryStore, address: str, faults: 'StoreFaults') -> None:
        """Reach ``store`` from an address."""
        self._store = store
        self._address = address
        self._faults = faults

    async def read(self, key: str, deadline_unix_s: float) -> Stored | Absent:
        """Return the value of one key."""
        if self._address in self._faults.cut:
            raise StoreUnreachable('the store is out of reach')
        return await self._store.read(key, deadline_unix_s)

    async def watch(self, prefix: str, after_version: int) -> AsyncIterator[Stored]:
        """Yield what is written, unless the link is cut or deaf."""
        self._faults.watching.add(self._address)
        try:
            async for stored in self._follow(prefix, after_version):
                yield stored
        finally:
            self._faults.watching.discard(self._address)

    async def _follow(self, prefix: str, after_version: int) -> AsyncIterator[Stored]:
        async for stored in self._store.watch(prefix, after_version):
            if self._address in self._faults.cut:
                raise StoreUnreachable('the store is out of reach')
            if self._address in self._faults.deaf:
                await anyio.sleep_forever()
            yield stored


class StoreFaults(NamedTuple):
    """Addresses whose link to the store is broken, and how; and who watches."""

    cut: set[str]
    deaf: set[str]
    watching: set[str]


class Node(NamedTuple):
    """One running instance."""

    identity: Identity
    membership: Membership
    distribution: Distribution
    view: View
    clock: JumpClock
    scope: anyio.CancelScope


def _no_faults() -> StoreFaults:
    return StoreFaults(set(), set(), set())


@dataclasses.dataclass
class Fleet:
    """Instances by name; each can be started, killed and started again."""

    group: Any
    clock: Clock
    net: MemoryNet
    store: MemoryStore
    membership_settings: MembershipSettings = MembershipSettings()
    distribution_settings: DistributionSettings = DistributionSettings()
    faults: StoreFaults = dataclasses.field(default_factory=_no_faults)
    instance_list: Callable[[], Awaitable[Any]] | None = None
    nodes: dict[str, Node] = dataclasses.field(default_factory=dict)

    @classmethod
    def over_stand_ins(cls, group: Any, **options: Any) -> 'Fleet':
        """Return a fleet without instances."""
        clock = StageClock()
        return cls(group, clock, MemoryNet(clock), MemoryStore(clock), **options)

    def start(self, name: str, role: str, seeds: Iterable[str], incarnation: int = 1) -> Node:
        """Start an instance; its data centre is the part of its name before "/"."""
        data_centre = name.partition('/')[0]
        server = f'{data_centre}/server-{name}' if role == 'sidecar' else ''
        identity = Identity(name, role, data_centre, 'one', f'at:{name}', incarnation, server)
        node = self._built(identity, tuple(f'at:{seed}' for seed in seeds))
        self.nodes[name] = node
        self.group.start_soon(self._run, node)
        return node

    def kill(self, name: str) -> None:
        """End an instance without a word."""
        node = self.nodes.pop(name)
        self.net.kill(node.identity.address)
        node.scope.cancel()

    def start_all(self, data_centres: Iterable[str], routers: int, sidecars: int) -> None:
        """Start some of both roles in each data centre; the first routers are the seeds."""
        names = list(data_centres)
        seeds = [f'{name}/r0' for name in names]
        for data_centre in names:
            for number in range(routers):
                self.start(f'{data_centre}/r{number}', 'router', seeds)
            for number in range(sidecars):
                node = self.start(f'{data_centre}/s{number}', 'sidecar', seeds)
                node.membership.report(self.load(node, running=number))

    def load(self, node: Node, running: int) -> runs_pb2.Load:
        """Return a load report of the server beside a sidecar, as of now."""
        server = node.identity.server
        return runs_pb2.Load(server=server, at_unix_s=self.clock.now_s(), running=running)

    def addresses(self, names: Iterable[str]) -> set[str]:
        """Return the addresses of instances."""
        return {f'at:{name}' for name in names}

    async def apply(self, revision: int) -> None:
        """Accept a revision with one account of its own."""
        account = Account(f'account-{revision}', budget_tokens=revision)
        await self.accept(Configuration(revision=revision, accounts={account.name: account}))

    async def accept(self, configuration: Configuration) -> None:
        """Accept a configuration in the store: parts first, then the head."""
        deadline_unix_s = self.clock.now_s() + 5
        digests = {}
        for name, digest, body in revisions.parts_of(configuration):
            await self.store.swap(revisions.PARTS_PREFIX + digest, body, 0, deadline_unix_s)
            digests[name] = digest
        await self.write_head(configuration.revision, digests)

    async def write_head(
        self, revision: int, parts: dict[str, str], head_format: int = revisions.FORMAT
    ) -> None:
        """Write a head over the one that stands."""
        head = {**revisions.empty_head(), 'revision': revision, 'parts': parts}
        head['format'] = head_format
        deadline_unix_s = self.clock.now_s() + 5
        stands = await self.store.read(revisions.HEAD_KEY, deadline_unix_s)
        version = getattr(stands, 'version', 0)
        await self.store.swap(
            revisions.HEAD_KEY, revisions.encode_head(head), version, deadline_unix_s
        )

    def _built(self, identity: Identity, seeds: tuple[str, ...]) -> Node:
        clock = JumpClock(self.clock)
        peers = self.net.peers(identity.address)
        settings = dataclasses.replace(self.membership_settings, seeds=seeds)
        membership = Membership(settings, identity, peers, clock, self.instance_list)
        linked = LinkedStore(self.store, identity.address, self.faults)
        store: Any = linked if identity.role == 'router' else None
        distribution = Distribution(
            self.distribution_settings, identity, store, peers, membership, clock
        )
        handlers = Handlers()
        membership.register(handlers)
        distribution.register(handlers)
        self.net.serve(identity.address, handlers)
        view = View(membership, distribution)
        return Node(identity, membership, distribution, view, clock, anyio.CancelScope())

    async def _run(self, node: Node) -> None:
        with node.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(node.membership.run)
                group.start_soon(node.distribution.run)
