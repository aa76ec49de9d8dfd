"""Subject: operators at the routers of a fleet, with a store that fails."""

import asyncio
from collections.abc import Awaitable, Sequence
from typing import Any, NamedTuple

import looptime

from endivesaddle.fleet import revisions
from endivesaddle.fleet.budgets import records
from endivesaddle.fleet.budgets.records_store import RecordStore
from endivesaddle.fleet.configuration import Configuration, shard_of
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.ports import Handlers
from endivesaddle.operators import query
from endivesaddle.operators.access import token_digest
from endivesaddle.operators.desk import Desk, DeskPorts
from endivesaddle.operators.service import OperatorService
from endivesaddle.operators.settings import OperatorSettings
from endivesaddle.stand_ins.memory_peers import Fault, MemoryNet
from endivesaddle.wire import holders_pb2, members_pb2, rpcs, runs_pb2
from subjects.operators_store import FaultyStore

BOOTSTRAP = 'first-token'
SERVERS = 24
_EPOCH_UNIX_S = 1_700_000_000
_FIRMS = (
    """
[data_centres]
porto-a = "porto"
[models.board]
[services.records]
[accounts.atelier]
budget_tokens = 1_000_000
[operators.ines]
token_digest = "{ines}"
role = "operator"
[operators.rui]
token_digest = "{rui}"
role = "support"
""".format(ines=token_digest('ines'), rui=token_digest('rui'))
    + ''.join(
        f"""
[servers."porto-a/llm-{number}"]
data_centre = "porto-a"
url = "http://10.0.1.{number}:8000"
kind = "engine"
models = ["board"]
"""
        for number in range(SERVERS)
    )
)


class StageClock:
    """The virtual loop's time, also between the steps."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Read a loop."""
        self._loop = loop

    def now_s(self) -> float:
        """Return the loop's time as Unix seconds."""
        return _EPOCH_UNIX_S + self._loop.time()


class View:
    """What one router knows; ``addresses`` are the routers."""

    def __init__(self, addresses: Sequence[str]) -> None:
        """Start with revision 0."""
        self.configuration = Configuration()
        self.addresses = addresses
        self.sidecars: dict[str, str] = {}

    def members(self, role: str, data_centre: str = '') -> list[members_pb2.Member]:
        """Return the routers, or the sidecars by server."""
        if role == 'router':
            return [
                members_pb2.Member(role=role, address=one, instance=one) for one in self.addresses
            ]
        return [
            members_pb2.Member(role=role, server=server, address=address)
            for server, address in self.sidecars.items()
        ]

    def leaving(self, instance: str) -> bool:
        """Tell that nobody leaves."""
        return False

    def loads(self) -> dict[str, runs_pb2.Load]:
        """Return no reports."""
        return {}


class Told(NamedTuple):
    """A reply: HTTP status and body."""

    http: int
    body: dict[str, Any]

    @property
    def status(self) -> int:
        """The exit status."""
        return int(self.body['status'])

    @property
    def text(self) -> str:
        """All messages."""
        return '\n'.join(self.body['messages'])


class Router(NamedTuple):
    """One router's side of operators."""

    desk: Desk
    service: OperatorService
    view: View
    records: list[holders_pb2.Record]


class OperatorsSubject:
    """Routers over one store; steps stand still in virtual time between them."""

    def __init__(self, routers: int = 1, **settings: int) -> None:
        """Start routers, with nothing applied."""
        self._settings = OperatorSettings(bootstrap_token=BOOTSTRAP, **settings)
        self._runner = asyncio.Runner(
            loop_factory=lambda: looptime.new_event_loop(start=0, _enabled=True)
        )
        self.clock = StageClock(self._runner.get_loop())
        self.store = FaultyStore(self.clock)
        self.net = MemoryNet(self.clock)
        addresses = [f'10.0.0.{number}:7000' for number in range(routers)]
        self.routers = [self._router(address, addresses) for address in addresses]
        self.last = Told(0, {})
        self.all: list[Told] = []

    def close(self) -> None:
        """End the loop."""
        self._runner.close()

    def do(self, work: Awaitable[Any]) -> Any:
        """Run to its end."""
        return self._runner.run(work)  # type: ignore[arg-type]

    def run(self, line: str, change_id: str = '', token: str = 'ines', router: int = 0) -> Told:
        """Give one command, then let all routers take the configuration that stands."""
        self.last = self.do(self.routers[router].service.command(token, line, change_id))
        self.last = Told(*self.last)
        self.follow()
        return self.last

    def race(self, lines: Sequence[tuple[str, str]]) -> list[Told]:
        """Give commands (line, change id) at once, each at a router of its own."""
        self.all = self.do(self._race(lines))
        self.follow()
        return self.all

    def apply(self, change: str = '', base: int = 0, change_id: str = '') -> Told:
        """Apply the declarations, with one text changed (``old => new``)."""
        token = 'ines' if self.routers[0].view.configuration.operators else BOOTSTRAP
        return self.run(apply_line(change, base), change_id, token)

    def follow(self) -> None:
        """Have all routers take what stands, unless the store is down."""
        if not self.store.down:
            self.do(self._follow())

    def standing(self) -> Configuration:
        """Return what stands in the store."""
        return self.do(self.load())

    async def load(self) -> Configuration:
        """Return what stands in the store."""
        desk = self.routers[0].desk
        loaded = await desk.configurations.load(desk.deadline_unix_s())
        return getattr(loaded, 'configuration', Configuration())

    def loaded_anew(self) -> Configuration:
        """Return what a router that knows nothing yet makes of the store."""
        desk = self.fresh_router().desk
        return self.do(desk.configurations.load(desk.deadline_unix_s())).configuration

    def fresh_router(self) -> Router:
        """Return a router that has read nothing yet."""
        return self._router('10.0.8.1:7000', ())

    def parts_kept(self) -> list[bool]:
        """Return, for each part in the store, whether it still has its content."""
        listed = self.do(self.store.list(revisions.PARTS_PREFIX, self.clock.now_s() + 1))
        return [bool(stored.value) for stored in listed]

    def budget(self, account: str) -> records.Budget:
        """Return the record of an account's budget."""
        store = RecordStore(self.store, self.clock)
        saved = self.do(store.read(shard_of(account), self.clock.now_s() + 1))
        return saved.record['budgets'].get(account, records.new_budget())

    def grant(self, account: str, tokens: int) -> None:
        """Have a holder be granted tokens."""
        self.do(self.granted(account, tokens))

    async def granted(self, account: str, tokens: int) -> None:
        """Write a grant, as a holder in porto-a does ahead of spending."""

        def change(record: records.ShardRecord) -> bool:
            record['budgets'][account]['grants']['porto-a'] = records.Grant(tokens, 0, 0)
            return True

        store = RecordStore(self.store, self.clock)
        await store.update(shard_of(account), change, self.clock.now_s() + 1)

    def strand(self, account: str, tokens: int, epoch: int) -> None:
        """Leave tokens stranded, as a takeover from a lost holder in porto-a does."""

        def change(record: records.ShardRecord) -> bool:
            entry = records.Stranded('porto-a', epoch, tokens, 0, 0)
            record['budgets'][account]['stranded'].append(entry)
            return True

        store = RecordStore(self.store, self.clock)
        deadline_unix_s = self.clock.now_s() + 1
        self.do(store.update(shard_of(account), change, deadline_unix_s))

    def silence(self, router: int) -> None:
        """Have one router answer the others no more."""
        own = {self.routers[0].desk.identity.address}
        self.net.part(own, {self.routers[router].desk.identity.address}, Fault.SILENT)

    def put_at(self, router: int, revision: int) -> None:
        """Have a router be at another revision."""
        view = self.routers[router].view
        view.configuration = view.configuration._replace(revision=revision)

    def sidecar(self, server: str, reply: runs_pb2.OrderReply) -> list[runs_pb2.OrderRequest]:
        """Put a sidecar beside a server that gives one reply; return the orders it gets."""
        got: list[runs_pb2.OrderRequest] = []

        async def answer(message: runs_pb2.OrderRequest) -> runs_pb2.OrderReply:
            got.append(message)
            return reply

        handlers = Handlers()
        handlers.answer(rpcs.ORDER, answer)
        self.net.serve('10.0.9.1:7000', handlers)
        for router in self.routers:
            router.view.sidecars[server] = '10.0.9.1:7000'
        return got

    def _router(self, address: str, addresses: Sequence[str]) -> Router:
        view = View(addresses)
        known: list[holders_pb2.Record] = []

        async def find(message: holders_pb2.FindRequest) -> holders_pb2.FindReply:
            matches = query.matcher(message.query)
            found = [
                record
                for record in known
                if matches(record) and message.request_key in {'', record.request_key}
            ]
            return holders_pb2.FindReply(records=found, complete=True)

        handlers = Handlers()

        async def pull(message: members_pb2.PullRequest) -> members_pb2.PullReply:
            return members_pb2.PullReply(revision=view.configuration.revision)

        handlers.answer(rpcs.FIND, find)
        handlers.answer(rpcs.PULL, pull)
        self.net.serve(address, handlers)
        identity = Identity(address, 'router', 'porto-a', 'porto', address, 1)
        ports = DeskPorts(self.store, self.net.peers(address), self.clock, view)
        desk = Desk(self._settings, identity, ports)
        return Router(desk, OperatorService(desk), view, known)

    async def _race(self, lines: Sequence[tuple[str, str]]) -> list[Told]:
        calls = [
            self.routers[place % len(self.routers)].service.command('ines', *words)
            for place, words in enumerate(lines)
        ]
        return [Told(*told) for told in await asyncio.gather(*calls)]

    async def _follow(self) -> None:
        standing = await self.load()
        for router in self.routers:
            if standing.revision > router.view.configuration.revision:
                router.view.configuration = standing


def apply_line(change: str, base: int) -> str:
    """Return the command that applies the declarations with one text changed."""
    old, _, new = change.partition(' => ')
    document = _FIRMS.replace(old, new) if old else _FIRMS
    return f'apply base:{base}\n{document}'
