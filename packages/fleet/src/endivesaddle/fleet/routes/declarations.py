"""Fetch newer declarations from another router, one transfer at a time.

Failure: every other router sent the complete document with each exchange to a router whose version
was older.  On a link of 5 Mbit/s seven copies, most of a second each, arrived concurrently and none
in time.
"""

from collections.abc import AsyncIterator

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import FleetError
from endivesaddle.fleet.ports import Handlers, Peers, Stored
from endivesaddle.fleet.routes import events
from endivesaddle.fleet.routes.parts import PartsReader, in_parts
from endivesaddle.fleet.routes.routing_state import RoutingState, StoreStatus
from endivesaddle.fleet.routes.store_watch import Decoder
from endivesaddle.fleet.routes.unreadable_values import UnreadableValues
from endivesaddle.wire import routers_pb2, rpcs

FIRST_PART_S = 0.4
"""Another router begins to answer within this."""
WAIT_FOR_STORE_S = 0.5
"""A router to which the store is available first waits this long for the store's own copy: a second
copy on the same link would delay it."""


class DeclarationsFetch:
    """Fetches declarations from other routers when the store does not provide them."""

    def __init__(
        self, routing_state: RoutingState, store_status: StoreStatus, decoder: Decoder
    ) -> None:
        """Put fetched declarations into force in ``routing_state``."""
        self._routing_state = routing_state
        self._store_status = store_status
        self._decoder = decoder
        self._fetching = anyio.Lock()
        self._unreadable = UnreadableValues()

    def register(self, handlers: Handlers) -> None:
        """Answer routers that ask for the declarations."""
        handlers.stream(rpcs.DECLARATIONS, self._send)

    async def fetch(self, address: str, version: int, peers: Peers, clock: Clock) -> None:
        """Fetch ``version`` from the router at ``address``, if it is newer and no fetch is running.

        A failed transfer is no error: the next report of any router starts another.
        """
        if self._fetching.locked() or version <= self._version:
            return
        async with self._fetching:
            if not self._store_status.unavailable and self._routing_state.declarations is not None:
                await anyio.sleep(WAIT_FOR_STORE_S)
            if version <= self._version:
                return
            request = routers_pb2.DeclarationsRequest(version=self._version)
            try:
                reply = await PartsReader(peers, clock).read(
                    address,
                    rpcs.DECLARATIONS,
                    request,
                    routers_pb2.DeclarationsReply,
                    clock.now_s() + FIRST_PART_S,
                )
            except (FleetError, TimeoutError) as error:
                events.DECLARATIONS_LOST.log(other=address, version=version, reason=str(error))
                return
            self._declare(reply, address)

    @property
    def _version(self) -> int:
        return self._routing_state.declarations.version if self._routing_state.declarations else 0

    def _declare(self, reply: routers_pb2.DeclarationsReply, address: str) -> None:
        if not reply.document:
            return
        stored = Stored(self._decoder.declared_key, reply.document, reply.version)
        try:
            declared = self._decoder.declared(stored)
        except ValueError as error:
            self._unreadable.note(stored, error)
            return
        if declared is not None:
            self._routing_state.declare(declared, reply.document, address)

    async def _send(
        self, request: routers_pb2.DeclarationsRequest
    ) -> AsyncIterator[routers_pb2.Part]:
        reply = routers_pb2.DeclarationsReply(version=self._version)
        if request.version < reply.version:
            reply.document = self._routing_state.document
        async for part in in_parts(reply):
            yield part
