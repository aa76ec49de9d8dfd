"""Distribution of the configuration: relays watch the store and push to the other instances."""

from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.distribution import events, packing
from endivesaddle.fleet.distribution.relay import Relay
from endivesaddle.fleet.distribution.revision_state import RevisionState
from endivesaddle.fleet.distribution.settings import DistributionSettings
from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.membership import Membership
from endivesaddle.fleet.membership.signal import Signal
from endivesaddle.fleet.ports import Handlers, Peers, Store
from endivesaddle.wire import members_pb2, rpcs

_CALL_FAILED = (PeerUnreachable, PeerNoReply, PeerRefused)
_NO_RELAY = -1
PUSHED = 'push'


class NewerPeer(NamedTuple):
    """A peer that reported a higher revision."""

    revision: int
    address: str


class Distribution:
    """The revision in force at one instance; it only moves to higher revisions.

    A new revision arrives in one of three ways: by a relay's watch of the store, by a push
    from the parent router, or by a pull from a peer with a higher revision.  A pull
    recovers revisions that were missed, and serves a process that starts while the store
    is unavailable.
    """

    def __init__(
        self,
        settings: DistributionSettings,
        identity: Identity,
        store: Store | None,
        peers: Peers,
        membership: Membership,
        clock: Clock,
    ) -> None:
        """Initialize at revision 0; sidecars have no ``store``."""
        self._settings = settings
        self._identity = identity
        self._peers = peers
        self._membership = membership
        self._clock = clock
        self._revision_state = RevisionState(clock)
        self._relay = Relay(settings, store, self._revision_state, clock) if store else None
        self._newer_peer = NewerPeer(0, '')
        self._newer_revision = Signal()
        self._pull_lock = anyio.Lock()
        self._tasks: TaskGroup | None = None
        membership.follow_revisions(self._revision, self.note_revision)

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this instance."""
        return self._revision_state.configuration

    @property
    def revision(self) -> int:
        """The revision in force on this instance; 0 before the first one."""
        return self._revision_state.revision

    def on_change(self, listener: Callable[[Configuration], None]) -> None:
        """Call ``listener`` with each configuration that comes into force."""
        self._revision_state.listeners.append(listener)

    def register(self, handlers: Handlers) -> None:
        """Register the handlers of pushes and pulls."""
        handlers.answer(rpcs.PUSH, self._pushed)
        handlers.answer(rpcs.PULL, self._pulled)

    async def run(self) -> None:
        """Act as a relay while selected, and pull missed revisions, until cancelled."""
        try:
            await self._run()
        finally:
            # A push received while the process stops is applied but not forwarded.
            self._tasks = None

    def note_revision(self, revision: int, address: str) -> None:
        """Note the revision of a peer; if it is higher, pull it in the background."""
        if revision > self.revision:
            self._newer_peer = NewerPeer(revision, address)
            self._newer_revision.fire()

    async def catch_up(self, revision: int, address: str) -> bool:
        """Pull from a peer unless ``revision`` is in force; return whether it is now."""
        async with self._pull_lock:
            if self.revision >= revision:
                return True
            if await self._pull(address):
                self._push()
        return self.revision >= revision

    def dump(self) -> dict[str, Any]:
        """Return the revision in force for a state dump."""
        revision_state = self._revision_state
        return {
            'revision': revision_state.revision,
            'in_force_unix_s': revision_state.in_force_unix_s,
            'parts': dict(revision_state.current.head['parts']),
            'relay': self._rank(),
        }

    async def _run(self) -> None:
        async with anyio.create_task_group() as group:
            self._tasks = group
            group.start_soon(self._pull_missed)
            if self._relay is not None:
                group.start_soon(self._relay.run, self._rank, self._push)

    def _revision(self) -> int:
        return self._revision_state.revision

    def _rank(self) -> int:
        collectors = self._membership.collectors()
        own = self._identity.instance
        return collectors.index(own) if own in collectors else _NO_RELAY

    async def _pull_missed(self) -> None:
        seen = 0
        while True:
            seen = await self._newer_revision.beyond(seen)
            await self.catch_up(*self._newer_peer)

    async def _pull(self, address: str) -> bool:
        message = members_pb2.PullRequest(
            have_revision=self.revision, have_digests=list(self._revision_state.current.bodies)
        )
        deadline_unix_s = self._clock.now_s() + self._settings.pull_call_s
        try:
            reply = await self._peers.call(address, rpcs.PULL, message, deadline_unix_s)
        except _CALL_FAILED:
            return False
        try:
            unpacked = packing.unpacked_reply(reply)
        except packing.PackingError as error:
            events.UNREADABLE.log(error=str(error), source=address)
            return False
        return self._adopt(unpacked.head, unpacked.parts, address)

    def _adopt(self, raw: bytes, parts: Any, source: str) -> bool:
        if not raw:
            return False
        head = self._revision_state.decode_next(raw, source)
        if head is None:
            return False
        bodies = {part.digest: part.body for part in parts}
        return self._revision_state.adopt(raw, head, bodies)

    def _push(self) -> None:
        """Push to the children of this router and the other data centres, in the background."""
        self._membership.tell_revision()
        if self._tasks is None:
            return
        revision_state = self._revision_state
        message = packing.packed_push(
            members_pb2.PushRequest(
                head=revision_state.current.raw,
                revision=revision_state.revision,
                parts=revision_state.parts(revision_state.previous_digests),
            )
        )
        for address in self._membership.children():
            self._tasks.start_soon(self._push_to, address, message)

    async def _push_to(self, address: str, message: members_pb2.PushRequest) -> None:
        deadline_unix_s = self._clock.now_s() + self._settings.pull_call_s
        try:
            await self._peers.call(address, rpcs.PUSH, message, deadline_unix_s)
        except _CALL_FAILED:
            # The next heartbeat reply contains the revision, and the peer pulls it.
            return

    async def _pushed(self, message: members_pb2.PushRequest) -> members_pb2.PushReply:
        if message.revision <= self.revision:
            return members_pb2.PushReply(revision=self.revision, refused=True)
        try:
            unpacked = packing.unpacked_push(message)
        except packing.PackingError as error:
            events.UNREADABLE.log(error=str(error), source=PUSHED)
            return members_pb2.PushReply(revision=self.revision)
        if self._is_complete(unpacked) and self._adopt(unpacked.head, unpacked.parts, PUSHED):
            self._push()
        return members_pb2.PushReply(revision=self.revision)

    async def _pulled(self, message: members_pb2.PullRequest) -> members_pb2.PullReply:
        revision_state = self._revision_state
        if message.have_revision >= revision_state.revision:
            return members_pb2.PullReply(revision=revision_state.revision)
        return packing.packed_reply(
            members_pb2.PullReply(
                head=revision_state.current.raw,
                revision=revision_state.revision,
                parts=revision_state.parts(message.have_digests),
            )
        )

    def _is_complete(self, message: members_pb2.PushRequest) -> bool:
        # A push has only the parts changed since the previous revision.  An instance that
        # missed that one gets this revision number on its next heartbeat, and pulls.
        head = self._revision_state.decode_next(message.head, PUSHED)
        if head is None:
            return False
        pushed = {part.digest for part in message.parts}
        return pushed.issuperset(self._revision_state.missing_parts(head).values())
