"""Keep copies of the origins of streams for routers, and hand them over at a graceful stop."""

from collections.abc import Mapping
from functools import partial
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import FleetError, StoreUnreachable
from endivesaddle.fleet.ports import Handlers, Peers
from endivesaddle.fleet.routes import sidecar_events as events
from endivesaddle.fleet.routes.instance_directory import SIDECAR, list_instances
from endivesaddle.fleet.routes.origin_holders import holders, origin_message
from endivesaddle.fleet.routes.remote_store import ForwardStore
from endivesaddle.fleet.routes.unreadable_values import UnreadableValues
from endivesaddle.fleet.routing.stream_origins import StreamOrigin, StreamOrigins
from endivesaddle.wire import routers_pb2, rpcs

EXPIRE_S = 5.0
CALL_S = 0.4
RELAY_S = 0.1
"""Less than the router waits that asks through this instance."""


class KeeperParts(NamedTuple):
    """The ports of an instance that keeps copies, and its own lifetime and address."""

    store: ForwardStore
    peers: Peers
    clock: Clock
    lifetime: str
    address: str


class OriginKeeper:
    """The origins that one instance keeps for others."""

    def __init__(self, parts: KeeperParts, origins: StreamOrigins) -> None:
        """Keep them in ``origins``."""
        self._parts = parts
        self._origins = origins
        self._expired_unix_s = 0.0
        self._unreadable = UnreadableValues()

    def register(self, handlers: Handlers) -> None:
        """Answer the routers' calls."""
        handlers.answer(rpcs.ORIGINS, self.exchange)

    async def exchange(self, request: routers_pb2.OriginsRequest) -> routers_pb2.OriginsReply:
        """Keep the origins of a request, and return those that it asks for."""
        if request.ask_at:
            return await self._relay(request)
        now_unix_s = self._parts.clock.now_s()
        if now_unix_s > self._expired_unix_s + EXPIRE_S:
            self._expired_unix_s = now_unix_s
            self._origins.expire(now_unix_s)
        for one in request.origins:
            origin = StreamOrigin(one.service, one.version)
            self._origins.record(one.key, origin, now_unix_s + one.kept_s, now_unix_s)
        reply = routers_pb2.OriginsReply(lifetime=self._parts.lifetime)
        for key in request.asked:
            known = self._origins.find(key, now_unix_s)
            if known is not None:
                reply.origins.append(origin_message(key, known, now_unix_s))
        return reply

    async def hand_over(self) -> None:
        """Pass all origins on to the sidecars that keep them once this one is gone."""
        now_unix_s = self._parts.clock.now_s()
        self._origins.expire(now_unix_s)
        if not self._origins:
            return
        try:
            instances = await list_instances(
                self._parts.store, self._unreadable, now_unix_s + CALL_S
            )
        except StoreUnreachable as error:
            events.ORIGINS_UNCOPIED.log(address='', origins=len(self._origins), reason=str(error))
            return
        data_centres = {one.address: one.data_centre for one in instances if one.role == SIDECAR}
        data_centres.pop(self._parts.address, None)
        requests = self._requests(data_centres)
        async with anyio.create_task_group() as group:
            for address, request in requests.items():
                group.start_soon(partial(self._send, address, request))
        events.ORIGINS_HANDED_OVER.log(origins=len(self._origins), sidecars=len(requests))

    async def _relay(self, request: routers_pb2.OriginsRequest) -> routers_pb2.OriginsReply:
        """Ask another instance for a router that is cut off from it."""
        asked = routers_pb2.OriginsRequest(asked=request.asked)
        deadline_unix_s = self._parts.clock.now_s() + RELAY_S
        try:
            reply: routers_pb2.OriginsReply = await self._parts.peers.call(
                request.ask_at, rpcs.ORIGINS, asked, deadline_unix_s
            )
        except (FleetError, TimeoutError):
            return routers_pb2.OriginsReply(lifetime=self._parts.lifetime, unreached=True)
        return reply

    def _requests(self, data_centres: Mapping[str, str]) -> dict[str, routers_pb2.OriginsRequest]:
        """Return the message for each sidecar."""
        now_unix_s = self._parts.clock.now_s()
        requests: dict[str, routers_pb2.OriginsRequest] = {}
        for key, known in self._origins:
            for address in holders(key, data_centres) if data_centres else ():
                request = requests.setdefault(address, routers_pb2.OriginsRequest())
                request.origins.append(origin_message(key, known, now_unix_s))
        return requests

    async def _send(self, address: str, request: routers_pb2.OriginsRequest) -> None:
        deadline_unix_s = self._parts.clock.now_s() + CALL_S
        try:
            await self._parts.peers.call(address, rpcs.ORIGINS, request, deadline_unix_s)
        except (FleetError, TimeoutError) as error:
            count = len(request.origins)
            events.ORIGINS_UNCOPIED.log(address=address, origins=count, reason=str(error))
