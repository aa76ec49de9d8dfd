"""Links between instances in one process, with the faults of a network.

Messages are serialized and parsed on the way, so that both ends never share an
object.  A fault is switched on for a pair of addresses, in one direction.
"""

import enum
from collections import Counter, defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.ports import Handlers
from endivesaddle.wire import rpcs


class Fault(enum.Enum):
    """What is wrong with a link in one direction."""

    CUT = 'connections are refused'
    SILENT = 'messages vanish and nothing is told'
    LOST_REPLY = 'messages arrive, replies vanish'
    DUPLICATE = 'messages arrive twice'
    LATE = 'messages arrive late, long after their sender gave them up'
    SLOW = 'messages arrive so late that their sender only just still waits'
    LATE_COPY = 'messages arrive, and once more late'


LATE_BY_S = 8.0
SLOW_BY_S = 0.9
FROZEN_LOOK_S = 0.05
"""How often a frozen instance looks whether it was woken."""


class Moment(NamedTuple):
    """Something passes a link: ``phase`` is asked, answered or chunk."""

    phase: str
    path: str
    sender: str
    receiver: str
    message: Any


Observer = Callable[[Moment], Awaitable[None]]


class MemoryNet:
    """All links; instances are the handlers registered under an address."""

    def __init__(self, clock: Clock, delay_s: float = 0.0005) -> None:
        """Start without instances and without faults."""
        self.clock = clock
        self.delay_s = delay_s
        self.nodes: dict[str, Handlers] = {}
        self.paused: set[str] = set()
        self.dead: set[str] = set()
        self.faults: dict[tuple[str, str], Fault] = {}
        self.observers: list[Observer] = []
        self.group: TaskGroup | None = None
        self.thin: dict[str, float] = {}
        self.arrived_bytes: Counter[str] = Counter()
        self._taken_until_s: defaultdict[str, float] = defaultdict(float)
        self.sent_bytes: dict[str, int] = {}
        self.calls: dict[str, int] = {}

    def serve(self, address: str, handlers: Handlers) -> None:
        """Answer at an address."""
        self.nodes[address] = handlers
        self.dead.discard(address)

    def kill(self, address: str) -> None:
        """Stop answering at an address, and let nothing out of it any more.

        What runs there is its owner's to stop.
        """
        self.nodes.pop(address, None)
        self.dead.add(address)

    def part(self, one: set[str], other: set[str], fault: Fault = Fault.SILENT) -> None:
        """Part two sets of addresses, in both directions."""
        for left in one:
            for right in other:
                self.faults[left, right] = fault
                self.faults[right, left] = fault

    async def pass_by(
        self, phase: str, path: str, sender: str, receiver: str, message: Any
    ) -> None:
        """Tell the observers of a message before it goes on."""
        for observer in list(self.observers):
            await observer(Moment(phase, path, sender, receiver, message))

    def deliver_late(self, handlers: Handlers, rpc: rpcs.Rpc[Any, Any], raw: bytes) -> None:
        """Deliver a message in ``LATE_BY_S``, whoever still waits for its reply."""
        if self.group is not None:
            self.group.start_soon(_deliver_late, handlers, rpc, raw)

    async def carry(self, address: str, size_bytes: int) -> None:
        """Bring an answer to an address, over its link of ``thin`` bytes a second if it has one.

        One follows the other there, also one that nobody waits for any more.
        """
        self.arrived_bytes[address] += size_bytes
        bytes_per_s = self.thin.get(address)
        if bytes_per_s:
            now_s = self.clock.now_s()
            begins_s = max(now_s, self._taken_until_s[address])
            self._taken_until_s[address] = begins_s + size_bytes / bytes_per_s
            await anyio.sleep(self._taken_until_s[address] - now_s)

    def heal(self) -> None:
        """Remove all faults of links."""
        self.faults.clear()

    def peers(self, address: str) -> 'MemoryPeers':
        """Return the calls that the instance at ``address`` makes."""
        return MemoryPeers(self, address)


class MemoryPeers:
    """The port ``Peers`` of one instance, over a ``MemoryNet``."""

    def __init__(self, net: MemoryNet, own_address: str) -> None:
        """Call from ``own_address``."""
        self._net = net
        self._own = own_address

    async def call(
        self,
        address: str,
        rpc: rpcs.Rpc[Any, Any],
        message: Any,
        deadline_unix_s: float,
    ) -> Any:
        """Make one call, through the faults of its link."""
        handlers = await self._reach(address, deadline_unix_s)
        if rpc.path not in handlers.unary:
            raise PeerRefused(f'{address} does not answer {rpc.path}')
        raw = message.SerializeToString()
        self._count(rpc.path, len(raw))
        await self._net.pass_by('asked', rpc.path, self._own, address, message)
        with anyio.move_on_after(max(0, deadline_unix_s - self._net.clock.now_s())):
            reply = await self._deliver(address, handlers, rpc, raw)
            await self._net.pass_by('answered', rpc.path, self._own, address, reply)
            await self._return(address)
            await self._net.carry(self._own, reply.ByteSize())
            self._count(rpc.path, reply.ByteSize())
            return rpc.answered.FromString(reply.SerializeToString())
        raise PeerNoReply(f'{address} did not answer {rpc.path} by the deadline')

    async def follow(
        self,
        address: str,
        rpc: rpcs.Rpc[Any, Any],
        message: Any,
        silence_s: float,
    ) -> AsyncIterator[Any]:
        """Yield the messages of a streamed answer, through the faults of its link."""
        handlers = await self._reach(address, self._net.clock.now_s() + silence_s)
        handler = handlers.streams.get(rpc.path)
        if handler is None:
            raise PeerRefused(f'{address} does not answer {rpc.path}')
        chunks = aiter(handler(message))
        while True:
            silent = True
            with anyio.move_on_after(silence_s):
                chunk = await anext(chunks, None)
                await self._net.pass_by('chunk', rpc.path, self._own, address, chunk)
                await self._pass_back(address)
                if chunk is not None:
                    await self._net.carry(self._own, chunk.ByteSize())
                silent = False
            # A chunk that left the other end and was lost on the way must not come late.
            if silent:
                raise PeerNoReply(f'{address} fell silent')
            if chunk is None:
                return
            self._count(rpc.path, chunk.ByteSize())
            twice = self._net.faults.get((address, self._own)) is Fault.DUPLICATE
            for _ in range(2 if twice else 1):
                yield rpc.answered.FromString(chunk.SerializeToString())

    async def _deliver(
        self, address: str, handlers: Handlers, rpc: rpcs.Rpc[Any, Any], raw: bytes
    ) -> Any:
        fault = self._net.faults.get((self._own, address))
        if fault in {Fault.LATE, Fault.LATE_COPY}:
            self._net.deliver_late(handlers, rpc, raw)
        if fault in {Fault.LATE, Fault.SILENT} or address not in self._net.nodes:
            await anyio.sleep_forever()
        handler = handlers.unary[rpc.path]
        if fault is Fault.SLOW:
            await anyio.sleep(SLOW_BY_S)
        if fault is Fault.DUPLICATE:
            await handler(rpc.asked.FromString(raw))
        return await handler(rpc.asked.FromString(raw))

    async def _return(self, address: str) -> None:
        """Bring a reply back, unless a fault that came up meanwhile keeps it."""
        lost = self._net.faults.get((self._own, address)) is Fault.LOST_REPLY
        back = self._net.faults.get((address, self._own))
        if lost or back in {Fault.SILENT, Fault.CUT} or address not in self._net.nodes:
            await anyio.sleep_forever()
        while {address, self._own} & self._net.paused:
            await anyio.sleep(FROZEN_LOOK_S)
        await anyio.sleep(self._net.delay_s)

    async def _pass_back(self, address: str) -> None:
        if address not in self._net.nodes:
            raise PeerUnreachable(f'{address} is gone')
        if self._net.faults.get((address, self._own)) in {Fault.SILENT, Fault.CUT}:
            await anyio.sleep_forever()
        while {address, self._own} & self._net.paused:
            await anyio.sleep(FROZEN_LOOK_S)

    async def _reach(self, address: str, deadline_unix_s: float) -> Handlers:
        while self._own in self._net.paused:
            await anyio.sleep(FROZEN_LOOK_S)
        fault = self._net.faults.get((self._own, address))
        if fault is Fault.SILENT or address in self._net.paused or self._own in self._net.dead:
            await anyio.sleep(max(0, deadline_unix_s - self._net.clock.now_s()))
            raise PeerNoReply(f'{address} does not answer')
        await anyio.sleep(self._net.delay_s)
        if fault is Fault.CUT or address not in self._net.nodes:
            raise PeerUnreachable(f'no connection to {address}')
        return self._net.nodes[address]

    def _count(self, path: str, size: int) -> None:
        self._net.sent_bytes[path] = self._net.sent_bytes.get(path, 0) + size
        self._net.calls[path] = self._net.calls.get(path, 0) + 1


async def _deliver_late(handlers: Handlers, rpc: rpcs.Rpc[Any, Any], raw: bytes) -> None:
    await anyio.sleep(LATE_BY_S)
    await handlers.unary[rpc.path](rpc.asked.FromString(raw))
