"""The side of a router to which other instances beat."""

from collections.abc import Iterable

import anyio

from endivesaddle.fleet.membership import events, records
from endivesaddle.fleet.membership.children import Child
from endivesaddle.fleet.membership.state import State
from endivesaddle.fleet.membership.uplink import tell
from endivesaddle.fleet.ports import Peers
from endivesaddle.wire import members_pb2

_COALESCE_S = 0.01


class Collector:
    """Answer beats, watch the children, and tell them at once what is urgent."""

    def __init__(self, state: State, peers: Peers) -> None:
        """Start without children."""
        self._state = state
        self._peers = peers

    async def beat(self, message: members_pb2.BeatRequest) -> members_pb2.BeatReply:
        """Answer a beat with what changed; one without a name is only a question."""
        state = self._state
        member = message.member
        if member.instance and not self._hear(message):
            return members_pb2.BeatReply(resend=True, revision=state.revisions.current())
        child = state.children.find(member.instance)
        source = child.address if child else member.address
        state.take(message.members, source)
        state.roster.silence.merge(message.pulses, source)
        state.loads.merge(message.loads, source)
        if source:
            state.revisions.heard(member.revision, source)
        is_router = child is None or child.role == records.ROUTER
        if message.first:
            return self._first_reply(message, is_router)
        return self._reply(message.view_version, source, is_router)

    async def watch(self) -> None:
        """Declare silent children suspect and gone, for good."""
        state = self._state
        while True:
            for silent in state.children.silent():
                self._declare(silent.child, silent.state)
            for record in state.roster.forget():
                state.loads.forget(record.server)
            await anyio.sleep(state.settings.beat_s / 2)

    async def push(self) -> None:
        """Tell the routers below at once what is urgent, for good."""
        state = self._state
        seen = 0
        told = state.version.number
        while True:
            seen = await state.pressing.beyond(seen)
            await anyio.sleep(_COALESCE_S)
            since, told = told, state.version.number
            async with anyio.create_task_group() as group:
                for address in state.children.addresses(records.ROUTER):
                    group.start_soon(self._push_to, address, since)

    async def _push_to(self, address: str, since: int) -> None:
        state = self._state
        changed = state.roster.records.since(since, address)
        if changed:
            message = members_pb2.ExchangeRequest(
                address=state.identity.address,
                members=changed,
                revision=state.revisions.current(),
            )
            await tell(state, self._peers, [address], message)

    def _hear(self, message: members_pb2.BeatRequest) -> bool:
        """Take in a beat; False when its sender has to say all of itself."""
        state = self._state
        member = message.member
        child = state.children.find(member.instance)
        if member.role:
            self._adopt(member)
        elif child is None or child.incarnation != member.incarnation:
            return False
        elif member.sequence > child.sequence:
            self._refresh(child, member)
        if message.HasField('load'):
            state.loads.offer(message.load, child.address if child else member.address)
        return True

    def _adopt(self, member: members_pb2.Member) -> None:
        state = self._state
        record = records.copied(member)
        record.via = state.identity.address
        known = state.roster.find(member.instance)
        if known is not None and records.merged(known, record) is None:
            return
        state.children.add(
            Child(
                instance=member.instance,
                role=member.role,
                address=member.address,
                incarnation=member.incarnation,
                sequence=member.sequence,
                heard_unix_s=state.running.now_s(),
                revision=member.revision,
            )
        )
        if known is None or known.incarnation != member.incarnation:
            events.JOINED.log(instance=member.instance, incarnation=member.incarnation)
        # It comes from here: its sender doesn't know who watches it now, and passes
        # that on to all that beat to it.
        state.take([record], '')

    def _refresh(self, child: Child, member: members_pb2.Member) -> None:
        state = self._state
        child.sequence = member.sequence
        child.heard_unix_s = state.running.now_s()
        child.revision = member.revision
        record = state.roster.find(child.instance)
        if record is None:
            return
        if child.state == records.LIVE and record.left >= member.left:
            return
        if member.left and not record.left:
            events.LEFT.log(instance=child.instance)
        child.state = records.LIVE
        self._say(record, records.LIVE, member)

    def _say(self, record: members_pb2.Member, state: str, heard: members_pb2.Member) -> None:
        via = self._state.identity.address
        changed = records.declared(record, state, heard.sequence, via)
        changed.left = record.left or heard.left
        self._state.roster.put(changed, '')

    def _declare(self, child: Child, state: str) -> None:
        child.state = state
        own = self._state.identity.address
        record = self._state.roster.find(child.instance)
        if state == records.GONE or record is None or record.via != own:
            self._state.children.drop(child.instance)
        if record is None or record.via != own:
            return
        logged = events.GONE if state == records.GONE else events.SUSPECTED
        logged.log(instance=child.instance, incarnation=child.incarnation)
        self._state.roster.put(records.declared(record, state, child.sequence, own), '')

    def _first_reply(
        self, message: members_pb2.BeatRequest, is_router: bool
    ) -> members_pb2.BeatReply:
        state = self._state
        theirs = {pulse.of: pulse.number for pulse in message.digests}
        ours = state.roster.index.digests
        differing = {of for of in ours.keys() | theirs.keys() if ours.get(of) != theirs.get(of)}
        if is_router:
            shown = [
                record
                for record in state.roster.records
                if records.data_centre_hash(record.data_centre) in differing
            ]
        else:
            shown = _routers(state.roster.records)
        return members_pb2.BeatReply(
            members=shown,
            loads=list(state.loads.reports) if is_router else (),
            pulses=list(state.roster.silence.pulses) if is_router else (),
            view_version=state.version.number,
            revision=state.revisions.current(),
            differing=sorted(differing) if is_router else (),
        )

    def _crowded(self, is_router: bool) -> bool:
        """Tell whether more of a role beat here than this router's share.

        Whoever started before the others were known beats to a seed; it looks
        again for its proper router then, and stays if that is this one.
        """
        state = self._state
        role = records.ROUTER if is_router else records.SIDECAR
        share = state.settings.fan_out
        if not is_router:
            data_centre = state.identity.data_centre
            routers = max(1, len(state.roster.members(records.ROUTER, data_centre)))
            share = len(state.roster.members(records.SIDECAR, data_centre)) // routers * 2
        return len(state.children.addresses(role)) > share + 1

    def _reply(self, version: int, source: str, is_router: bool) -> members_pb2.BeatReply:
        state = self._state
        if not state.version.knows(version):
            return members_pb2.BeatReply(resend=True, revision=state.revisions.current())
        changes = state.changes(version, source)
        members = changes.members
        if not is_router:
            members = _routers(members)
        return members_pb2.BeatReply(
            members=members,
            loads=changes.loads if is_router else (),
            pulses=changes.pulses if is_router else (),
            view_version=changes.version,
            revision=state.revisions.current(),
            not_collector=self._crowded(is_router),
        )


def _routers(members: Iterable[members_pb2.Member]) -> list[members_pb2.Member]:
    return [record for record in members if record.role == records.ROUTER]
