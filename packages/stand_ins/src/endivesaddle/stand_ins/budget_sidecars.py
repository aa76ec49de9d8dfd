"""Sidecars without an engine: they run by the clock, and settle what ran."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.ports import Handlers, Sealer
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.wire import holders_pb2, members_pb2, rpcs, runs_pb2

LOST = (PeerUnreachable, PeerNoReply, PeerRefused)
_CALL_S = 1.0
_PAUSE_S = 0.25
_MOST_STARTS = 10_000


class Work(NamedTuple):
    """One request: what it reserves, what it uses, and how long it runs."""

    account: str
    request_key: str
    bound_tokens: int
    used_tokens: int
    run_s: float
    deadline_unix_s: float


class Truth:
    """What ran, whoever knows of it: tokens by account and request, bounds while running."""

    def __init__(self) -> None:
        """Start with nothing run."""
        self.works: dict[str, Work] = {}
        self.ended: dict[str, anyio.Event] = {}
        self.tokens: dict[str, dict[str, int]] = {}

    def expect(self, work: Work) -> anyio.Event:
        """Expect a request; return the event of its end."""
        self.works[work.request_key] = work
        return self.ended.setdefault(work.request_key, anyio.Event())

    def count(self, work: Work, tokens: int) -> None:
        """Count a run's tokens."""
        self.tokens.setdefault(work.account, {})[work.request_key] = tokens

    def total(self, account: str) -> int:
        """Return what ran for an account, bounds while running."""
        return sum(self.tokens.get(account, {}).values())


class FakeSidecar(Sealer):
    """Runs without an engine; refuses sealed epochs and remembers what ran."""

    def __init__(
        self,
        member: members_pb2.Member,
        net: MemoryNet,
        clock: Clock,
        truth: Truth,
        settle_at: Callable[[int, str], str],
    ) -> None:
        """Answer at the member's address; ``run`` has to run."""
        self.member = member
        self.records: dict[str, holders_pb2.Record] = {}
        self.min_epochs: dict[tuple[int, str], int] = {}
        self.scope = anyio.CancelScope()
        self._clock = clock
        self._truth = truth
        self._settle_at = settle_at
        self._peers = net.peers(member.address)
        started, starts = anyio.create_memory_object_stream[holders_pb2.Record](_MOST_STARTS)
        self._started = started
        self._starts = starts
        handlers = Handlers()
        handlers.answer(rpcs.SEAL_RUNS, self.answer_seal)
        handlers.answer(rpcs.START, self.start)
        net.serve(member.address, handlers)

    async def run(self) -> None:
        """Run what is started until the sidecar is lost."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                async for record in self._starts:
                    tasks.start_soon(self._run, record)

    async def start(self, message: runs_pb2.StartRequest) -> runs_pb2.StartReply:
        """Start a run unless its epoch is sealed."""
        min_epoch = self.min_epochs.get((message.shard, message.data_centre), 0)
        if message.epoch < min_epoch:
            return runs_pb2.StartReply(verdict='refused', code='epoch_sealed', not_run=True)
        if message.request_key not in self.records:
            record = holders_pb2.Record(
                request_key=message.request_key,
                account=message.account,
                shard=message.shard,
                data_centre=message.data_centre,
                epoch=message.epoch,
                state='dispatched',
                bound_tokens=message.bound_tokens,
                batch=message.batch,
            )
            self.records[message.request_key] = record
            self._truth.count(self._truth.works[message.request_key], message.bound_tokens)
            self._started.send_nowait(record)
        return runs_pb2.StartReply(verdict='started')

    async def answer_seal(self, message: holders_pb2.SealRequest) -> holders_pb2.SealReply:
        """Refuse sealed epochs from now on; report what ran under them."""
        return holders_pb2.SealReply(
            sealed=True,
            instance=self.member.instance,
            incarnation=str(self.member.incarnation),
            records=await self.seal(message),
        )

    async def seal(self, message: holders_pb2.SealRequest) -> list[holders_pb2.Record]:
        """Refuse sealed epochs from now on; return what ran under them."""
        place = (message.shard, message.data_centre)
        self.min_epochs[place] = max(self.min_epochs.get(place, 0), message.below_epoch)
        return [
            record
            for record in self.records.values()
            if (record.shard, record.data_centre) == place and record.epoch < message.below_epoch
        ]

    async def _run(self, record: holders_pb2.Record) -> None:
        work = self._truth.works[record.request_key]
        await anyio.sleep(work.run_s)
        record.state = 'ended'
        record.used_tokens = work.used_tokens
        self._truth.count(work, work.used_tokens)
        self._truth.ended[work.request_key].set()
        while not await self._settle(record):
            await anyio.sleep(_PAUSE_S)

    async def _settle(self, record: holders_pb2.Record) -> bool:
        message = holders_pb2.SettleRequest(
            request_key=record.request_key,
            account=record.account,
            used_tokens=record.used_tokens,
            epoch=record.epoch,
            data_centre=record.data_centre,
        )
        address = self._settle_at(record.shard, record.data_centre)
        deadline_unix_s = self._clock.now_s() + _CALL_S
        try:
            reply = await self._peers.call(address, rpcs.SETTLE, message, deadline_unix_s)
        except LOST:
            return False
        return bool(reply.settled)
