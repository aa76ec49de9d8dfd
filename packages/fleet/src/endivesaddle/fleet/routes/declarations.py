"""Fetch newer declarations from another router, one transfer at a time.

Failure: every other router sent the whole document with each of its talks to a router that was
behind.  On a link of 5 Mbit/s seven of them, most of a second each, arrived together and none in
time.
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
from endivesaddle.wire import routers_pb2, rpcs

FIRST_S = 0.4
"""Another router begins to answer within this."""
STORE_FIRST_S = 0.5
"""A router that the store answers waits so long for the store's own word first: a second copy of
the document on the same link would delay it."""


class DeclarationsFetch:
    """This router's way to declarations that others have and the store does not tell here."""

    def __init__(
        self, routing_state: RoutingState, store_status: StoreStatus, decoder: Decoder
    ) -> None:
        """Keep ``routing_state`` up to date."""
        self._routing_state = routing_state
        self._store_status = store_status
        self._decoder = decoder
        self._busy = anyio.Lock()

    def register(self, handlers: Handlers) -> None:
        """Tell the declarations to routers that ask."""
        handlers.stream(rpcs.DECLARATIONS, self._tell)

    async def fetch(self, address: str, version: int, peers: Peers, clock: Clock) -> None:
        """Take in what the router at ``address`` has, if it is still newer and nothing is fetched.

        A transfer that fails is no error: the next word of any router begins another.
        """
        if self._busy.locked() or version <= self._version:
            return
        async with self._busy:
            if not self._store_status.unavailable and self._routing_state.declarations is not None:
                await anyio.sleep(STORE_FIRST_S)
            if version <= self._version:
                return
            request = routers_pb2.DeclarationsRequest(version=self._version)
            try:
                reply = await PartsReader(peers, clock).read(
                    address,
                    rpcs.DECLARATIONS,
                    request,
                    routers_pb2.DeclarationsReply,
                    clock.now_s() + FIRST_S,
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
        stored = Stored(self._decoder.declared_key, reply.document, 0)
        try:
            declared = self._decoder.declared(stored)
        except ValueError as error:
            events.DOCUMENT_BAD.log(key=stored.key, version=reply.version, error=str(error))
            return
        if declared is not None:
            self._routing_state.declare(declared, reply.document, address)

    async def _tell(
        self, asked: routers_pb2.DeclarationsRequest
    ) -> AsyncIterator[routers_pb2.Part]:
        reply = routers_pb2.DeclarationsReply(version=self._version)
        if asked.version < reply.version:
            reply.document = self._routing_state.document
        async for part in in_parts(reply):
            yield part
