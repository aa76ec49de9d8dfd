"""Calls to this very instance, answered without a link.

A router is holder of some accounts itself; half of the claims of a data centre
with two routers would else be serialized, sent over loopback and parsed again.
"""

from collections.abc import AsyncIterator

import anyio

from endivesaddle.fleet.clock import Clock, left_s
from endivesaddle.fleet.errors import PeerNoReply, PeerRefused
from endivesaddle.fleet.ports import Handlers, Peers, Reply, Request
from endivesaddle.wire.rpcs import Rpc


class LocalPeers:
    """The port ``Peers``: own address by own handlers, all others over ``peers``."""

    def __init__(self, own_address: str, handlers: Handlers, peers: Peers, clock: Clock) -> None:
        """Answer calls to ``own_address`` from ``handlers``."""
        self._own_address = own_address
        self._handlers = handlers
        self._peers = peers
        self._clock = clock

    async def call(
        self,
        address: str,
        rpc: Rpc[Request, Reply],
        message: Request,
        deadline_unix_s: float,
    ) -> Reply:
        """Make one call; its message is copied, so that no object is shared."""
        handler = self._handlers.unary.get(rpc.path)
        if address != self._own_address or handler is None:
            return await self._peers.call(address, rpc, message, deadline_unix_s)
        with anyio.move_on_after(left_s(self._clock, deadline_unix_s)):
            reply = await handler(_copied(rpc.asked, message))
            return _copied(rpc.answered, reply)
        raise PeerNoReply(f'{rpc.path} was not answered here by its deadline')

    def follow(
        self,
        address: str,
        rpc: Rpc[Request, Reply],
        message: Request,
        silence_s: float,
    ) -> AsyncIterator[Reply]:
        """Yield an answer's chunks; runs are at sidecars, so always over ``peers``."""
        if address == self._own_address:
            raise PeerRefused('a router has no runs')
        return self._peers.follow(address, rpc, message, silence_s)


def _copied(kind: type[Request], message: Request) -> Request:
    copy = kind()
    copy.CopyFrom(message)  # type: ignore[attr-defined]
    return copy
