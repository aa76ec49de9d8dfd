"""Copies of the origins of one router's streams at other instances, for the time after its end.

In the calm case no copy is needed: a service has one version, and the record in the store says so.
Origins are copied while a service has several versions, while the store is away or this router
stops, and if the route of a stream leads to several services or to another than when it began.
"""

from functools import partial
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import FleetError
from endivesaddle.fleet.ports import Peers
from endivesaddle.fleet.routes import sidecar_events as events
from endivesaddle.fleet.routes.address_backoff import AddressBackoff
from endivesaddle.fleet.routes.declared import Route
from endivesaddle.fleet.routes.instance_directory import Instance, InstanceDirectory
from endivesaddle.fleet.routes.origin_holders import holders, origin_message, ranked
from endivesaddle.fleet.routes.routing_state import RoutingState, StoreStatus
from endivesaddle.fleet.routing.stream_origins import StreamOrigin, StreamOrigins
from endivesaddle.wire import routers_pb2, rpcs

COPY_S = 0.2
"""Interval between copies: streams that began within it are not known once their router is gone."""
EXPIRE_S = 5.0
SEND_S = 0.4
ASK_S = 0.15
MAX_ASKED = 4
"""Instances that are asked for an origin: routers may differ on who is live."""
MAX_RELAYS = 2
AVOID_S = 2.0
LONGEST_AVOID_S = 8.0
"""Least and greatest time for which an instance that did not answer is sent no copies."""


class CopiedParts(NamedTuple):
    """The state that decides what is copied, and to whom."""

    routing_state: RoutingState
    store_status: StoreStatus
    directory: InstanceDirectory
    peers: Peers
    clock: Clock


class FoundCopy(NamedTuple):
    """An origin that another instance keeps, and since when.

    It is ``sure`` if none of those that may keep it failed to answer.
    """

    origin: StreamOrigin | None
    learned_unix_s: float
    sure: bool


class _Stream(NamedTuple):
    """A stream of this router: its route as it was, and the instances that have its origin."""

    route: Route
    copied_to: frozenset[str] = frozenset()


class OriginCopies:
    """Copies the origins of one router's streams to sidecars, and asks for those of others."""

    def __init__(self, parts: CopiedParts, origins: StreamOrigins) -> None:
        """Copy what ``origins`` holds of the streams that are added."""
        self.leaving = False
        self._parts = parts
        self._origins = origins
        self._streams: dict[bytes, _Stream] = {}
        self._uncopied: set[bytes] = set()
        self._sidecars: tuple[Instance, ...] = ()
        self._lifetimes: dict[str, str] = {}
        self._backoff = AddressBackoff(parts.clock, AVOID_S, LONGEST_AVOID_S)

    def add(self, key: bytes, route: Route) -> None:
        """Add a stream that began or was taken up on a route."""
        if key not in self._streams:
            self._streams[key] = _Stream(route)
            self._uncopied.add(key)

    async def run(self) -> None:
        """Copy what is needed until cancelled."""
        expire_unix_s = 0.0
        while True:
            await anyio.sleep(COPY_S)
            if self._parts.clock.now_s() >= expire_unix_s:
                expire_unix_s = self._parts.clock.now_s() + EXPIRE_S
                self._expire()
            await self.copy()

    async def copy(self) -> None:
        """Copy the origins that are needed and not yet copied."""
        if self._parts.directory.sidecar_instances != self._sidecars:
            self._sidecars = self._parts.directory.sidecar_instances
            for sidecar in self._sidecars:
                self._note_lifetime(sidecar.address, sidecar.incarnation)
            self._uncopied.update(self._streams)
        batches = self._batches()
        if batches:
            async with anyio.create_task_group() as group:
                for address, keys in batches.items():
                    group.start_soon(partial(self._send, address, keys))

    async def ask(self, key: bytes) -> FoundCopy:
        """Ask the instances that may keep a stream's origin, all at once.

        Those that don't answer this router are asked through others, which may reach them; those
        that have not answered lately are not waited for.
        """
        addresses = ranked(key, self._candidates())
        asked = addresses[:MAX_ASKED]
        inquiry = _Inquiry(self._parts, key, {one for one in asked if not self._usable(one)})
        await inquiry.ask([(address, '') for address in asked if address not in inquiry.failed])
        failed = sorted(inquiry.failed)
        for silent in inquiry.unanswered:
            self._backoff.record_failure(silent)
        relays = [one for one in addresses if one not in inquiry.failed][:MAX_RELAYS]
        if failed and inquiry.origin is None:
            await inquiry.ask([(relay, address) for address in failed for relay in relays])
        return FoundCopy(inquiry.origin, inquiry.learned_unix_s, not inquiry.failed)

    def _candidates(self) -> dict[str, str]:
        """Return the data centres of the instances that may keep copies, by address.

        These are the sidecars, and the other routers if there are none.
        """
        directory = self._parts.directory
        known = {one.address: one.data_centre for one in directory.sidecar_instances}
        addresses = directory.sidecars or directory.others.values()
        return {address: known.get(address, '') for address in addresses}

    def _usable(self, address: str) -> bool:
        return self._backoff.usable(address)

    def _needed(self, route: Route) -> bool:
        routing_state = self._parts.routing_state
        if self.leaving or self._parts.store_status.unavailable or routing_state.versions.mixed:
            return True
        index = routing_state.declarations
        current = index.find(route.host, route.prefix) if index else None
        moved = current is not None and current.targets != route.targets
        return moved or len(route.targets) > 1

    def _expire(self) -> None:
        now_unix_s = self._parts.clock.now_s()
        self._origins.expire(now_unix_s)
        for key in [one for one in self._streams if not self._origins.find(one, now_unix_s)]:
            del self._streams[key]
            self._uncopied.discard(key)

    def _batches(self) -> dict[str, list[bytes]]:
        """Return the keys of the streams whose origin is sent to each instance now."""
        usable = {
            address: data_centre
            for address, data_centre in self._candidates().items()
            if self._usable(address)
        }
        batches: dict[str, list[bytes]] = {}
        if not usable:
            return batches
        for key in list(self._uncopied):
            stream = self._streams[key]
            if not self._needed(stream.route):
                continue
            missing = set(holders(key, usable)) - stream.copied_to
            for address in missing:
                batches.setdefault(address, []).append(key)
            if not missing:
                self._uncopied.discard(key)
        return batches

    async def _send(self, address: str, keys: list[bytes]) -> None:
        now_unix_s = self._parts.clock.now_s()
        known = {key: self._origins.find(key, now_unix_s) for key in keys}
        request = routers_pb2.OriginsRequest(
            origins=[origin_message(key, one, now_unix_s) for key, one in known.items() if one]
        )
        deadline_unix_s = now_unix_s + SEND_S
        try:
            reply = await self._parts.peers.call(address, rpcs.ORIGINS, request, deadline_unix_s)
        except (FleetError, TimeoutError) as error:
            self._backoff.record_failure(address)
            events.ORIGINS_UNCOPIED.log(address=address, origins=len(keys), reason=str(error))
            return
        self._backoff.record_success(address)
        self._note_lifetime(address, reply.lifetime)
        for key in keys:
            stream = self._streams.get(key)
            if stream is not None:
                copied_to = stream.copied_to | {address}
                self._streams[key] = stream._replace(copied_to=copied_to)

    def _note_lifetime(self, address: str, lifetime: str) -> None:
        """If an instance has restarted, copy again what it had."""
        if self._lifetimes.get(address) == lifetime:
            return
        self._lifetimes[address] = lifetime
        for key, stream in self._streams.items():
            if address in stream.copied_to:
                self._streams[key] = stream._replace(copied_to=stream.copied_to - {address})
                self._uncopied.add(key)


class _Inquiry:
    """The questions for one stream's origin.

    ``failed`` are the instances that nobody reached, ``unanswered`` those that this router asked.
    """

    def __init__(self, parts: CopiedParts, key: bytes, avoided: set[str]) -> None:
        self.origin: StreamOrigin | None = None
        self.learned_unix_s = 0.0
        self.failed = avoided
        self.unanswered: set[str] = set()
        self._parts = parts
        self._key = key

    async def ask(self, questions: list[tuple[str, str]]) -> None:
        """Ask at (address, address to ask there, '' for itself) until one knows the origin."""
        async with anyio.create_task_group() as group:
            for address, ask_at in questions:
                group.start_soon(self._ask, address, ask_at, group.cancel_scope)

    async def _ask(self, address: str, ask_at: str, asking: anyio.CancelScope) -> None:
        request = routers_pb2.OriginsRequest(asked=[self._key], ask_at=ask_at)
        deadline_unix_s = self._parts.clock.now_s() + ASK_S
        try:
            reply = await self._parts.peers.call(address, rpcs.ORIGINS, request, deadline_unix_s)
        except (FleetError, TimeoutError) as error:
            self.failed.add(ask_at or address)
            self.unanswered.add(address)
            events.ORIGINS_UNASKED.log(address=address, ask_at=ask_at, reason=str(error))
            return
        if ask_at and not reply.unreached:
            self.failed.discard(ask_at)
        for one in reply.origins:
            self.origin = StreamOrigin(one.service, one.version)
            self.learned_unix_s = self._parts.clock.now_s() - one.age_s
            asking.cancel()
