"""The beats of one instance to the router that watches it."""

import dataclasses

import anyio

from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.membership import events, records
from endivesaddle.fleet.membership.choice import Choice
from endivesaddle.fleet.membership.loads import CacheChanges
from endivesaddle.fleet.membership.state import Changes, State
from endivesaddle.fleet.ports import Peers
from endivesaddle.wire import members_pb2, rpcs, runs_pb2

PROBE_S = 3.0

_NO_ANSWER = (PeerUnreachable, PeerNoReply, PeerRefused)


@dataclasses.dataclass
class Link:
    """What the router above has of this instance's tables, and the other way round."""

    address: str = ''
    theirs: int = 0
    ours: int = 0
    owed: tuple[int, ...] = ()


class Uplink:
    """One task: beat to one router, and find another when it does not answer."""

    def __init__(self, state: State, peers: Peers) -> None:
        """Start without a router."""
        self._state = state
        self._peers = peers
        self.link = Link()
        self._report: runs_pb2.Load | None = None
        self._delivered = True
        self._crowded = False
        self._choice = Choice(state)
        self._next_probe_unix_s = 0.0
        self._probes = 0
        self._next_pulse_unix_s = 0.0

    async def run(self) -> None:
        """Beat for good; at once when something urgent is to be told."""
        state = self._state
        while True:
            seen = state.pressing.count
            began_unix_s = state.clock.now_s()
            await self.round()
            left_s = began_unix_s + state.settings.beat_s - state.clock.now_s()
            await state.pressing.beyond(seen, max(0, left_s))

    def report(self, load: runs_pb2.Load) -> None:
        """Have the beats carry a load report; its cache changes go until one is answered."""
        report = runs_pb2.Load()
        report.CopyFrom(load)
        before = self._report
        if before is not None and not self._delivered:
            changes = CacheChanges({}, {})
            changes.add(before)
            changes.add(load)
            report.ClearField('cached_prefixes')
            report.ClearField('evicted_prefixes')
            report.cached_prefixes.extend(changes.cached)
            report.evicted_prefixes.extend(changes.evicted)
        self._report = report
        self._delivered = False

    async def round(self) -> None:
        """Beat once, to the best router that answers."""
        self._pulse()
        if not await self._beat_to_any():
            if self.link.address:
                events.ALONE.log(instance=self._state.identity.instance)
                # Nobody watches this instance now; still said to be watched by
                # a router that is gone it would be taken for dead with it.
                self._state.announce()
            self.link = Link()
        await self._probe()

    async def _beat_to_any(self) -> bool:
        for address in self._choice.candidates(self.link.address, self._crowded):
            if await self._beat(address):
                return True
        return False

    def _pulse(self) -> None:
        state = self._state
        silence = state.roster.silence
        now_unix_s = state.clock.now_s()
        if not state.is_router or now_unix_s < self._next_pulse_unix_s:
            return
        silence.routers = len(state.order(state.identity.data_centre))
        self._next_pulse_unix_s = now_unix_s + silence.pulse_s
        silence.beat(records.name_hash(state.identity.instance), state.own.sequence)

    async def _beat(self, address: str) -> bool:
        if self.link.address != address:
            return await self._attach(address)
        reply = await self._call(address, self._message(address))
        if reply is None:
            events.COLLECTOR_LOST.log(address=address)
            return False
        if reply.resend:
            return await self._attach(address)
        return True

    async def _attach(self, address: str) -> bool:
        message = members_pb2.BeatRequest(
            member=self._state.next_record(), load=self._report, first=True
        )
        self._add_digests(message)
        ours = self._state.version.number
        reply = await self._call(address, message)
        if reply is None:
            return False
        before = self.link.address
        self.link = Link(address, reply.view_version, ours, tuple(reply.differing))
        if before and before != address and not self._choice.failed_lately(before):
            await self._say_moved(before)
        events.ATTACHED.log(address=address, differing=len(reply.differing))
        return await self._call(address, self._message(address)) is not None

    async def _say_moved(self, before: str) -> None:
        # The router that watched this instance would otherwise suspect it, until
        # the word of the new one has gone round the tree.
        record = records.copied(self._state.own)
        record.via = self.link.address
        message = members_pb2.ExchangeRequest(address=record.address, members=[record])
        await tell(self._state, self._peers, [before], message)

    async def _call(
        self, address: str, message: members_pb2.BeatRequest
    ) -> members_pb2.BeatReply | None:
        state = self._state
        ours = state.version.number
        deadline_unix_s = state.clock.now_s() + state.settings.beat_call_s
        try:
            reply = await self._peers.call(address, rpcs.BEAT, message, deadline_unix_s)
        except _NO_ANSWER:
            self._choice.failed(address)
            return None
        self._choice.answered(address)
        if not reply.resend and message.HasField('load') and message.load == self._report:
            self._delivered = True
        self._crowded = reply.not_collector
        self._take(address, reply)
        if self.link.address == address and not (reply.resend or message.first):
            self.link = Link(address, reply.view_version, ours)
        return reply

    def _take(self, address: str, reply: members_pb2.BeatReply) -> None:
        state = self._state
        state.take(reply.members, address)
        state.roster.silence.merge(reply.pulses, address)
        state.loads.merge(reply.loads, address)
        state.revisions.heard(reply.revision, address)

    def _message(self, address: str) -> members_pb2.BeatRequest:
        state = self._state
        record = state.next_record()
        compact = members_pb2.Member(
            instance=record.instance,
            incarnation=record.incarnation,
            sequence=record.sequence,
            revision=record.revision,
            left=record.left,
        )
        message = members_pb2.BeatRequest(
            member=compact, load=self._report, view_version=self.link.theirs
        )
        if state.is_router:
            self._add_changes(message, state.changes(self.link.ours, address))
        return message

    def _add_changes(self, message: members_pb2.BeatRequest, changes: Changes) -> None:
        told = {record.instance for record in changes.members}
        owed = self.link.owed and [
            record
            for record in self._state.roster.records
            if records.data_centre_hash(record.data_centre) in self.link.owed
            and record.instance not in told
        ]
        message.members.extend([*changes.members, *owed])
        message.loads.extend(changes.loads)
        message.pulses.extend(changes.pulses)

    def _add_digests(self, message: members_pb2.BeatRequest) -> None:
        for of, digest in self._state.roster.index.digests.items():
            message.digests.add(of=of, number=digest)

    async def _probe(self) -> None:
        """Ask an instance outside the own view for its view.

        This is how an instance learns the fleet at its start, and how two parts
        of a data centre find each other after a partition: neither has the
        other among its live routers any more, so nobody would beat across.
        """
        state = self._state
        now_unix_s = state.clock.now_s()
        outside = self._outside()
        if not outside or now_unix_s < self._next_probe_unix_s:
            return
        self._next_probe_unix_s = now_unix_s + PROBE_S
        self._probes += 1
        if self.link.address:
            outside = [outside[self._probes % len(outside)]]
        else:
            self._next_probe_unix_s = now_unix_s
        message = members_pb2.BeatRequest(first=True)
        self._add_digests(message)
        async with anyio.create_task_group() as group:
            for address in outside:
                group.start_soon(self._call, address, message)

    def _outside(self) -> list[str]:
        state = self._state
        order = [record.address for record in state.order(state.identity.data_centre)]
        if self.link.address and state.identity.address not in order[:1]:
            return []
        live = {record.address for record in state.roster.members(records.ROUTER)}
        lost = [
            record.address
            for record in state.roster.of_data_centre(state.identity.data_centre, records.ROUTER)
        ]
        known = [*state.settings.seeds, *lost]
        return sorted(set(known) - live - {state.identity.address})


async def tell(
    state: State, peers: Peers, addresses: list[str], message: members_pb2.ExchangeRequest
) -> None:
    """Send records to several routers at once; one that fails hears them by beats."""

    async def one(address: str) -> None:
        deadline_unix_s = state.clock.now_s() + state.settings.beat_call_s
        try:
            await peers.call(address, rpcs.EXCHANGE, message, deadline_unix_s)
        except _NO_ANSWER:
            return

    async with anyio.create_task_group() as group:
        for address in addresses:
            group.start_soon(one, address)
