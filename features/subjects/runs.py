"""Subject: the runs of a sidecar between a fake holder and an engine in memory."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from types import MappingProxyType
from typing import Any

import anyio
import msgspec

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.configuration import BackendServer, Configuration
from endivesaddle.fleet.errors import PeerNoReply
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.runs import Runs, RunSettings
from endivesaddle.stand_ins import virtual
from endivesaddle.stand_ins.engine_answers import Asked
from endivesaddle.stand_ins.engine_memory import MemoryEngine
from endivesaddle.stand_ins.engine_state import EngineState
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.service import MemoryService, ServiceState
from endivesaddle.wire import holders_pb2, members_pb2, rpcs, runs_pb2

SIDECAR = '10.0.0.1:7001'
HOLDER = '10.0.0.2:7001'
OTHER_HOLDER = '10.0.0.3:7001'
ROUTER = '10.0.0.4:7001'
SERVER = 'porto-a/llm-1'
INCARNATION = 5
PATHS = MappingProxyType({'engine': '/v1/chat/completions', 'service': '/plates/p-7'})

SMALL = MappingProxyType(
    {'max_running': 4, 'answer_bytes': 65_536, 'answers_bytes': 262_144, 'chunk_bytes': 256}
)
"""Settings small enough to meet their bounds."""


class View:
    """A fleet with two routers and one declared backend server."""

    def __init__(self) -> None:
        """Declare the server with revision 1."""
        self.configuration = Configuration()
        self.gone: set[str] = set()
        self.routers = [OTHER_HOLDER]
        self.declare(1)

    def declare(self, revision: int, **fields: Any) -> None:
        """Take a configuration with a higher revision."""
        server = BackendServer(SERVER, 'porto-a', 'http://engine', 'engine', **fields)
        self.configuration = Configuration(revision=revision, servers={SERVER: server})

    def members(self, role: str, data_centre: str = '') -> list[members_pb2.Member]:
        """Return the routers that this sidecar knows."""
        return [
            members_pb2.Member(address=address, role=role, data_centre='porto-b')
            for address in self.routers
        ]

    def leaving(self, instance: str) -> bool:
        """Tell whether the list says that an instance leaves."""
        return instance in self.gone

    def loads(self) -> dict[str, runs_pb2.Load]:
        """Return nothing."""
        return {}


class Holder:
    """Acknowledges settlements once it is told to, and bills each key once."""

    def __init__(self, net: MemoryNet, address: str) -> None:
        """Answer at ``address``."""
        self.bills: dict[str, list[holders_pb2.SettleRequest]] = {}
        self.points_to = ''
        handlers = Handlers()
        handlers.answer(rpcs.SETTLE, self._settle)
        net.serve(address, handlers)

    async def _settle(self, message: holders_pb2.SettleRequest) -> holders_pb2.SettleReply:
        if self.points_to:
            return holders_pb2.SettleReply(holder=self.points_to)
        self.bills.setdefault(message.request_key, []).append(message)
        return holders_pb2.SettleReply(settled=True, billed_tokens=message.used_tokens)


class Answered:
    """What a follower has received."""

    def __init__(self, offset_bytes: int) -> None:
        """Start with nothing from an offset."""
        self.offset_bytes = offset_bytes
        self.silences = 0
        self.data = b''
        self.chunks: list[runs_pb2.Chunk] = []
        self.end = runs_pb2.End()
        self.status = 0

    def take(self, chunk: runs_pb2.Chunk) -> None:
        """Take a chunk that must continue what is there."""
        assert chunk.offset_bytes == self.offset_bytes + len(self.data), chunk
        self.chunks.append(chunk)
        self.data += chunk.data
        if chunk.HasField('head'):
            self.status = chunk.head.status
        if chunk.HasField('end'):
            self.end = chunk.end


class SidecarRuns:
    """A sidecar, its engine, two holders, and routers that call it.

    Steps queue actions with ``later``; ``played`` runs them in order, once.
    """

    def __init__(self, kind: str = 'engine', **settings: Any) -> None:
        """Build it; nothing runs before it is played."""
        self.kind = kind
        self.clock = LoopClock()
        self.net = MemoryNet(self.clock)
        self.view = View()
        self.state = EngineState()
        self.service = ServiceState()
        self._settings = RunSettings(**{**SMALL, **settings})
        self.holder = Holder(self.net, HOLDER)
        self.other_holder = Holder(self.net, OTHER_HOLDER)
        self.router = self.net.peers(ROUTER)
        self.replies: list[Any] = []
        self.answers: list[Answered] = []
        self.most_kept_bytes = 0
        self.drained_s = -1.0
        self.runs = self._sidecar(INCARNATION)
        self._script: list[Action] = []
        self._tasks: Any = None
        self._living: anyio.CancelScope | None = None

    def later(self, action: Action) -> None:
        """Queue an action."""
        self._script.append(action)

    def played(self) -> SidecarRuns:
        """Run what was queued, in virtual time with the sidecar living."""
        if self._script:
            virtual.run(self._play)
            self._script = []
        return self

    async def start(self, key: str, **fields: Any) -> None:
        """Send a START over the net and keep the reply."""
        await self.call(rpcs.START, self.message(key, **fields))

    def message(self, key: str, **fields: Any) -> runs_pb2.StartRequest:
        """Return a START for a prompt of two words that is named after the key."""
        known: dict[str, Any] = {
            'request_key': key, 'account': 'atelier', 'attempt': 1, 'shard': 3,
            'data_centre': 'porto-a', 'epoch': 4, 'revision': 1, 'bound_tokens': 100,
            'deadline_unix_s': self.clock.now_s() + 60, 'method': 'POST', 'kind': self.kind,
            'path': PATHS[self.kind], 'stream': True, 'digest': 'd1', 'holder': HOLDER,
            'body': body_of(key), 'batch': 7,
        }  # fmt: skip
        if 'within_s' in fields:
            fields['deadline_unix_s'] = self.clock.now_s() + fields.pop('within_s')
        return runs_pb2.StartRequest(**{**known, **fields})

    async def fetch(self, key: str, offset_bytes: int = 0, pause_s: float = 0) -> None:
        """Follow an answer to its end, taking it up again after a silence."""
        answered = Answered(offset_bytes)
        self.answers.append(answered)
        while not answered.end.outcome:
            asked = runs_pb2.FollowRequest(
                request_key=key, offset_bytes=offset_bytes + len(answered.data)
            )
            try:
                await self._follow(asked, answered, pause_s)
            except PeerNoReply:
                answered.silences += 1

    def start_fetching(self, key: str, pause_s: float = 0) -> None:
        """Follow an answer beside what comes next."""
        self._tasks.start_soon(self.fetch, key, 0, pause_s)

    async def call(self, rpc: Any, message: Any) -> None:
        """Make a call of the sidecar's and keep the reply, or the error's name."""
        try:
            reply = await self.router.call(SIDECAR, rpc, message, self.clock.now_s() + 2)
        except PeerNoReply:
            reply = 'silent'
        self.replies.append(reply)

    def bills(self, key: str) -> list[int]:
        """Return what the holders were told to bill for a key."""
        told = self.holder.bills.get(key, []) + self.other_holder.bills.get(key, [])
        return [bill.used_tokens for bill in told]

    def expected(self, key: str) -> bytes:
        """Return the whole answer to a key."""
        asked = Asked(PATHS['engine'], body_of(key), self.state.switches)
        events = [asked.event(index) for index in range(asked.tokens)]
        return b''.join([*events, *asked.last_events()])

    async def restart(self) -> None:
        """Kill the sidecar and start its next incarnation at the same address."""
        assert self._living is not None
        self._living.cancel()
        await anyio.sleep(0)
        self.runs = self._sidecar(INCARNATION + 1)
        self._tasks.start_soon(self._live)
        await anyio.sleep(0)

    def start_draining(self, within_s: float) -> None:
        """Drain the sidecar beside what comes next, and note how long it took."""
        self._tasks.start_soon(self._drain, within_s)

    async def _follow(
        self, asked: runs_pb2.FollowRequest, answered: Answered, pause_s: float
    ) -> None:
        async for chunk in self.router.follow(SIDECAR, rpcs.FOLLOW, asked, 5):
            answered.take(chunk)
            self.most_kept_bytes = max(self.most_kept_bytes, self.runs.counters()['kept_bytes'])
            await anyio.sleep(pause_s)

    async def _drain(self, within_s: float) -> None:
        began_s = self.clock.now_s()
        await self.runs.drain(began_s + within_s)
        self.drained_s = self.clock.now_s() - began_s

    def _sidecar(self, incarnation: int) -> Runs:
        identity = Identity(
            'porto-a/sidecar-1', 'sidecar', 'porto-a', 'west', SIDECAR, incarnation, SERVER
        )
        client: Any = MemoryEngine(self.state)
        if self.kind == 'service':
            client = MemoryService(self.service)
        runs = Runs(
            self._settings, identity, client, self.net.peers(SIDECAR), self.view, self.clock
        )
        handlers = Handlers()
        runs.register(handlers)
        self.net.serve(SIDECAR, handlers)
        return runs

    async def _live(self) -> None:
        with anyio.CancelScope() as scope:
            self._living = scope
            await self.runs.run()

    async def _play(self) -> None:
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._live)
            await anyio.sleep(0)
            for action in self._script:
                await action(self)
            tasks.cancel_scope.cancel()


Action = Callable[[SidecarRuns], Awaitable[None]]


def body_of(key: str) -> bytes:
    """Return a body whose prompt has two words, the first of them named after the key."""
    content = f'{key.replace("/", "-")} please'
    return msgspec.json.encode({'messages': [{'content': content}], 'stream': True})
