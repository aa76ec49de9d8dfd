"""Client of a plain service, which relays calls unchanged at a fixed cost."""

from collections.abc import AsyncIterator

import httpx

from endivesaddle.backend_servers.clients import KINDS
from endivesaddle.backend_servers.link import HOP_BY_HOP, Link
from endivesaddle.backend_servers.settings import BackendSettings
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import BackendServer
from endivesaddle.fleet.interfaces import EngineEvent
from endivesaddle.wire import runs_pb2

NOT_RELAYED = frozenset(('authorization', 'idempotency-key', 'x-request-id'))
"""Headers of the caller that are for the fleet only or are replaced."""


@KINDS.add('service')
class ServiceClient:
    """Relays calls to one plain service."""

    def __init__(
        self,
        settings: BackendSettings,
        server: BackendServer,
        clock: Clock,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Connect to the service at the server's declared address."""
        self._settings = settings
        self._clock = clock
        self._link = Link(settings, server.url, clock, transport)

    async def run(self, message: runs_pb2.StartRequest) -> AsyncIterator[EngineEvent]:
        """Relay a call and yield its response; the call costs ``cost_tokens``."""
        headers = [
            (header.name, header.value)
            for header in message.headers
            if header.name.lower() not in NOT_RELAYED
        ]
        headers.append(('x-request-id', message.request_key))
        headers.append(('x-attempt', str(message.attempt)))
        request = self._link.build(message.method, message.path, headers, message.body)
        first_unix_s = self._clock.now_s() + self._settings.first_byte_s
        async with self._link.exchange(request, first_unix_s) as response:
            kept = tuple(
                (name, text)
                for name, text in response.headers.multi_items()
                if name.lower() not in HOP_BY_HOP
            )
            yield EngineEvent(
                status=response.status_code, headers=kept, used_tokens=message.cost_tokens
            )
            async for piece in self._link.pieces(response, self._settings.silence_s):
                yield EngineEvent(data=piece, used_tokens=message.cost_tokens)
            yield EngineEvent(ended=True, used_tokens=message.cost_tokens)

    async def load(self) -> runs_pb2.Load:
        """Return an empty report, since a plain service does not report its load."""
        return runs_pb2.Load()

    async def order(self, message: runs_pb2.OrderRequest) -> runs_pb2.OrderReply:
        """Refuse the order: a plain service accepts no orders."""
        return runs_pb2.OrderReply(code='no_orders', reason='a plain service accepts no orders')

    async def close(self) -> None:
        """Close the connections."""
        await self._link.close()
