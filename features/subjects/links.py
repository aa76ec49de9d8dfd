"""Subject: calls between two instances over connections in memory, in virtual time."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from types import MappingProxyType
from typing import Any, NamedTuple

import anyio
from loguru import logger

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.errors import FleetError, PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.ports import Handlers
from endivesaddle.instances import GrpcPeers, InstancesSettings, serve
from endivesaddle.wire import holders_pb2, rpcs, runs_pb2
from subjects.links_loop import ScenarioLoop
from subjects.links_wires import Wires

OUTCOMES = MappingProxyType(
    {PeerUnreachable: 'unreachable', PeerNoReply: 'silent', PeerRefused: 'refused'}
)
CHUNK = b'x' * 1024


class Outcome(NamedTuple):
    """What a caller saw of one call, and after how long."""

    kind: str
    took_s: float


class Links:
    """A caller and, after ``start``, the instance that it calls."""

    def __init__(self) -> None:
        """Start a loop in virtual time; ``close`` ends it."""
        self._loop = ScenarioLoop()
        self.run = self._loop.run
        self.wires = Wires()
        self.events: list[int] = []
        self._sink = logger.add(self._note_event, level='DEBUG')
        self.settings = InstancesSettings(fleet_key='of the fleet')
        self.address = '127.0.0.1:1'
        self.claims = 0
        self.cancelled = 0
        self.streams = 0
        self.made_bytes: list[int] = []
        self.outcomes: dict[str, list[Outcome]] = {
            'claim': [],
            'note': [],
            'settle': [],
            'follow': [],
        }
        self.clock = LoopClock()
        self.settled = anyio.Event()
        self._stack = contextlib.AsyncExitStack()
        self._tasks: list[asyncio.Task[Any]] = []
        self.run(self._connect)

    def close(self) -> None:
        """End everything."""
        logger.remove(self._sink)
        self.run(self._end)
        self._loop.close()

    def start(
        self, claim: Callable[[Any], Awaitable[Any]], fleet_key: str = 'of the fleet'
    ) -> None:
        """Serve, with one way to answer claims."""
        handlers = Handlers()
        handlers.answer(rpcs.CLAIM, self._counted(claim))
        handlers.answer(rpcs.NOTE, self._note)
        handlers.answer(rpcs.SETTLE, self._settle)
        handlers.stream(rpcs.FOLLOW, self._stream)
        settings = InstancesSettings(fleet_key=fleet_key)
        self.run(self._serve, handlers, settings)

    async def answer(self, message: Any) -> holders_pb2.ClaimReply:
        """Answer a claim at once."""
        return holders_pb2.ClaimReply(verdict='granted')

    async def fail(self, message: Any) -> holders_pb2.ClaimReply:
        """Fail while answering."""
        raise ValueError('broken handler')

    def slowly(self, seconds: float) -> Callable[[Any], Awaitable[Any]]:
        """Answer claims after a while."""

        async def answer(message: Any) -> holders_pb2.ClaimReply:
            await anyio.sleep(seconds)
            return holders_pb2.ClaimReply()

        return answer

    async def when_settled(self, message: Any) -> holders_pb2.ClaimReply:
        """Answer a claim once anything was settled."""
        await self.settled.wait()
        return holders_pb2.ClaimReply()

    async def call(self, kind: str, seconds: float = 10, size_bytes: int = 0) -> None:
        """Make one call and note what came of it."""
        rpc, message = {
            'claim': (rpcs.CLAIM, holders_pb2.ClaimRequest(target='x' * size_bytes)),
            'note': (rpcs.NOTE, holders_pb2.NoteRequest()),
            'settle': (rpcs.SETTLE, holders_pb2.SettleRequest()),
        }[kind]
        began_s = self.clock.now_s()
        try:
            await self.peers.call(self.address, rpc, message, began_s + seconds)
            outcome = 'answered'
        except FleetError as error:
            outcome = OUTCOMES[type(error)]
        self.outcomes[kind].append(Outcome(outcome, self.clock.now_s() - began_s))

    def begin(self, kind: str, seconds: float, count: int = 1, size_bytes: int = 0) -> None:
        """Make calls side by side and let them get under way."""

        async def main() -> None:
            for _ in range(count):
                self._spawn(self.call(kind, seconds, size_bytes))
            await anyio.sleep(0.1)

        self.run(main)

    def finish(self) -> None:
        """Wait for all calls that were begun."""

        async def main() -> None:
            await asyncio.gather(*self._tasks)

        self.run(main)
        self._tasks.clear()

    def follow(self, count: int) -> None:
        """Follow streams and read their first chunk only."""

        async def main() -> None:
            for _ in range(count):
                chunks = self.peers.follow(
                    self.address, rpcs.FOLLOW, runs_pb2.FollowRequest(), 3600
                )
                self._stack.push_async_callback(chunks.aclose)  # type: ignore[attr-defined]
                await anext(chunks)
            await anyio.sleep(1)

        self.run(main)

    async def follow_busily(self, seconds: float) -> None:
        """Read a chunk of a stream, be busy, and read on with 10 seconds of patience."""
        chunks = self.peers.follow(self.address, rpcs.FOLLOW, runs_pb2.FollowRequest(), 10)
        await anext(chunks)
        await anyio.sleep(seconds)
        began_s = self.clock.now_s()
        try:
            await anext(chunks)
        except PeerNoReply:
            self.outcomes['follow'].append(Outcome('silent', self.clock.now_s() - began_s))

    def sleep(self, seconds: float) -> None:
        """Let time pass."""
        self.run(anyio.sleep, seconds)

    def stop(self) -> None:
        """Begin to stop the instance, beside the calls under way."""

        async def main() -> None:
            self._spawn(self._server.__aexit__(None, None, None))
            await anyio.sleep(0.1)

        self.run(main)

    def sent_bytes(self) -> int:
        """Return what both ends have written on all connections."""
        return sum(near.sent_bytes + far.sent_bytes for near, far in self.wires.pairs)

    def _spawn(self, work: Any) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    async def _connect(self) -> None:
        self.wires.install()
        self.peers = GrpcPeers(self.settings, self.clock)

    async def _serve(self, handlers: Handlers, settings: InstancesSettings) -> None:
        self._server = serve(handlers, '127.0.0.1:0', settings)
        self.address = await self._server.__aenter__()

    async def _end(self) -> None:
        self.peers.close()
        for task in self._tasks:
            task.cancel()
        await self._stack.aclose()

    def _counted(self, claim: Callable[[Any], Awaitable[Any]]) -> Callable[[Any], Awaitable[Any]]:
        async def counted(message: Any) -> Any:
            self.claims += 1
            try:
                return await claim(message)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise

        return counted

    async def _note(self, message: Any) -> holders_pb2.NoteReply:
        return holders_pb2.NoteReply(accepted=True)

    async def _settle(self, message: Any) -> holders_pb2.SettleReply:
        self.settled.set()
        return holders_pb2.SettleReply(settled=True)

    async def _stream(self, message: Any) -> AsyncIterator[runs_pb2.Chunk]:
        own = len(self.made_bytes)
        self.made_bytes.append(0)
        self.streams += 1
        try:
            while True:
                yield runs_pb2.Chunk(data=CHUNK)
                self.made_bytes[own] += len(CHUNK)
                if not self.endless:
                    await anyio.sleep_forever()
        finally:
            self.streams -= 1

    endless = False

    def _note_event(self, message: Any) -> None:
        self.events.append(message.record['extra'].get('event', 0))
