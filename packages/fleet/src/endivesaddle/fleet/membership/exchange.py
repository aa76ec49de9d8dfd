"""What the collectors of the data centres tell one another.

Each data centre speaks for its own instances only, so a word never goes round,
and what another data centre says can't contradict the routers that watch.
"""

import anyio

from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.membership import events, records
from endivesaddle.fleet.membership.state import State
from endivesaddle.fleet.ports import Peers
from endivesaddle.wire import members_pb2, rpcs

_WHOLE_S = 5.0
_TRIES = 3
_SPEAKERS = 2
_COALESCE_IN_BEATS = 20


class Exchange:
    """Tell other data centres of the own one, and hear of theirs."""

    def __init__(self, state: State, peers: Peers) -> None:
        """Start with nothing told."""
        self._state = state
        self._peers = peers
        self._told: dict[str, int] = {}
        self._whole_unix_s: dict[str, float] = {}
        self._skipped: dict[str, int] = {}

    async def hear(self, message: members_pb2.ExchangeRequest) -> members_pb2.ExchangeReply:
        """Take in records from a router above, or from another data centre."""
        state = self._state
        reply = members_pb2.ExchangeReply(revision=state.revisions.current())
        if message.whole:
            reply.members.extend(self._later_words(message))
        state.take(message.members, message.address)
        state.revisions.heard(message.revision, message.address)
        if message.number:
            of = records.data_centre_hash(message.data_centre)
            state.roster.silence.beat(of, message.number, message.address)
            state.loads.merge(message.loads, message.address)
            reply.differs = state.roster.index.digests.get(of, 0) != message.digest
        return reply

    async def run(self) -> None:
        """Tell the other data centres: the first collector always, the second what is urgent.

        For the seconds until a dead first collector is suspect nobody else would
        tell that a server leaves or that a revision came into force.
        """
        state = self._state
        seen = 0
        async with anyio.create_task_group() as group:
            group.start_soon(self._hurry)
            while True:
                before = seen
                seen = await state.exchanges.beyond(seen, state.settings.exchange_s)
                if self.leads() or (seen > before and self._is_second()):
                    await self._tell_all()

    def leads(self) -> bool:
        """Tell whether this router speaks for its data centre.

        The second collector speaks too as soon as the first is suspect: two
        voices do no harm, none for a few seconds makes the data centre seem lost.
        """
        state = self._state
        for record in state.order(state.identity.data_centre):
            if record.instance == state.identity.instance:
                return True
            if record.state == records.LIVE:
                return False
        return False

    def _later_words(self, message: members_pb2.ExchangeRequest) -> list[members_pb2.Member]:
        """Return what is known here later than its own data centre says.

        An old word that an instance is gone may have reached only this data
        centre.  Told back, it comes to the router that watches the instance,
        which says again that it is live, with a later number.
        """
        pairs = [(self._state.roster.find(heard.instance), heard) for heard in message.members]
        return [
            known
            for known, heard in pairs
            if known is not None and known != heard and records.merged(known, heard) is None
        ]

    def _is_second(self) -> bool:
        own = self._state.identity
        order = self._state.order(own.data_centre)
        return own.instance in {record.instance for record in order[:_SPEAKERS]}

    async def _hurry(self) -> None:
        state = self._state
        seen = 0
        while True:
            seen = await state.pressing.beyond(seen)
            await anyio.sleep(state.settings.beat_s / _COALESCE_IN_BEATS)
            state.exchanges.fire()

    async def _tell_all(self) -> None:
        own = self._state.identity.data_centre
        number = self._number()
        async with anyio.create_task_group() as group:
            for data_centre in self._state.roster.index.data_centres():
                if data_centre != own:
                    group.start_soon(self._tell, data_centre, number)

    def _number(self) -> int:
        # One more than the last collector's number, so that the pulse of the
        # data centre goes on growing when the next has a slower clock.
        silence = self._state.roster.silence
        of = records.data_centre_hash(self._state.identity.data_centre)
        known = silence.pulses.find(of)
        number = known.number + 1 if known else int(self._state.clock.now_s())
        silence.beat(of, number)
        return number

    async def _tell(self, data_centre: str, number: int) -> None:
        order = self._state.order(data_centre, known=True)
        skipped = self._skipped.get(data_centre, 0) % max(1, len(order))
        turned = order[skipped:] + order[:skipped]
        for record in turned[:_TRIES]:
            if await self._tell_one(record.address, number):
                return
        # All of them may have been replaced: try the next ones in the next round.
        self._skipped[data_centre] = self._skipped.get(data_centre, 0) + _TRIES

    async def _tell_one(self, address: str, number: int) -> bool:
        state = self._state
        version = state.version.number
        whole = address not in self._told
        message = self._message(address, number, whole)
        deadline_unix_s = state.clock.now_s() + state.settings.beat_call_s
        try:
            reply = await self._peers.call(address, rpcs.EXCHANGE, message, deadline_unix_s)
        except (PeerUnreachable, PeerNoReply, PeerRefused):
            return False
        self._told[address] = version
        state.take(reply.members, address)
        state.revisions.heard(reply.revision, address)
        if reply.differs and not whole:
            self._send_whole_next(address)
        return True

    def _message(self, address: str, number: int, whole: bool) -> members_pb2.ExchangeRequest:
        state = self._state
        own = state.identity.data_centre
        if whole:
            members = state.roster.of_data_centre(own)
        else:
            changed = state.roster.records.since(self._told[address], address)
            members = [record for record in changed if record.data_centre == own]
        return members_pb2.ExchangeRequest(
            data_centre=own,
            members=members,
            digest=state.roster.index.digests.get(records.data_centre_hash(own), 0),
            revision=state.revisions.current(),
            address=state.identity.address,
            number=number,
            whole=whole,
            loads=state.load_reports(0 if whole else self._told[address]),
        )

    def _send_whole_next(self, address: str) -> None:
        now_unix_s = self._state.clock.now_s()
        if now_unix_s >= self._whole_unix_s.get(address, 0):
            self._whole_unix_s[address] = now_unix_s + _WHOLE_S
            self._told.pop(address)
            self._state.exchanges.fire()
            events.DIFFERED.log(address=address)
