"""Subject: a router before servers on real sockets whose answers end with their connections."""

import asyncio
import re
from collections.abc import Sequence
from types import MappingProxyType
from typing import Any

import anyio

from endivesaddle.backend_servers.connection_pool import ConnectionPool
from endivesaddle.backend_servers.forward_client import ForwardClient
from endivesaddle.fleet.clock import MonotonicClock
from endivesaddle.fleet.routes.declared import (
    Declarations,
    Repeat,
    Route,
    RouteServer,
    Service,
    Target,
)
from endivesaddle.fleet.routes.forwarded import ForwardRequest
from endivesaddle.fleet.routes.header_names import HeaderNames
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routes.running import Runner
from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from subjects.forward_runs import RecordingSink
from subjects.server_connections import CHUNKED, Peer
from subjects.settled_retries import settle
from subjects.waiting_fleet import NoBudgets

GUARD_S = 20
EVENTS = 6
BREAK = 3
"""Events before the point at which a stream breaks off."""
TAKEN_UP = re.compile(rb'last-event-id: (\d+)', re.IGNORECASE)
BODY = b'a whole board'
ROUTES = MappingProxyType(
    {
        'unsafe': (Repeat.UNSAFE, False),
        'safe': (Repeat.SAFE, False),
        'streamed': (Repeat.STREAMED, False),
        'resumable': (Repeat.STREAMED, True),
    }
)


def events(first: int, last: int) -> bytes:
    """Return the numbered events of a stream."""
    return b''.join(b'id: %d\ndata: x\n\n' % number for number in range(first, last))


class UnframedAnswers:
    """One request to a router before two servers; the first to get it answers as ``ending`` says.

    ``ending`` is how its answer ends: complete or not, by a close or a reset of the connection.
    """

    def __init__(self, kind: str, ending: str) -> None:
        """Initialize with a route of ``kind``."""
        self.sink = RecordingSink()
        self.sendings = 0
        self._kind = kind
        self._ending = ending

    def request(self) -> None:
        """Forward the request."""
        anyio.run(self._play)

    async def _play(self) -> None:
        with anyio.fail_after(GUARD_S):
            servers = [await asyncio.start_server(self._serve, '127.0.0.1', 0) for _ in range(2)]
            names = [server.sockets[0].getsockname() for server in servers]
            await self._forward([f'{host}:{port}' for host, port in names])
            for server in servers:
                server.close()

    async def _forward(self, addresses: Sequence[str]) -> None:
        clock = MonotonicClock()
        repeat, resumable = ROUTES[self._kind]
        route = Route(
            'r', 'host', '/', repeat, 4000, 500, 1, (Target('a', 1),), 3, resumable=resumable
        )
        state = RoutingState()
        state.declare(Declarations(1, (route,), (Service('a', 100),), ()), b'', 'test')
        for address in addresses:
            state.update_server(RouteServer(f'life-{address}', 'a', address, 'one', 4), 'test')
        pools: Any = NoBudgets()
        client = ForwardClient(ConnectionPool(), HeaderNames(), clock)
        dispatcher = settle(Dispatcher(ForwardSettings(), state, clock, 'one'))
        runner = Runner(dispatcher, pools, client, clock)
        now_unix_s = clock.now_s()
        headers = (('host', 'host'), ('endivesaddle-request-id', '0'))
        end_unix_s = now_unix_s + 4
        request = ForwardRequest(
            '0', route, None, 'GET', '/x', headers, b'', end_unix_s, end_unix_s, 0, 0, (), -1,
            now_unix_s,
        )  # fmt: skip
        await runner.serve(request, self.sink)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()
            return
        self.sendings += 1
        peer = Peer(0, reader, writer)
        if self.sendings == 1:
            await self._answer(peer)
            return
        found = TAKEN_UP.search(head)
        rest = events(int(found.group(1)) + 1, EVENTS) if found else BODY
        writer.write(peer.answer(b'content-length: %d\r\n' % len(rest), rest))

    async def _answer(self, peer: Peer) -> None:
        whole, _, how = self._ending.partition(', ')
        streamed = ROUTES[self._kind][0] is Repeat.STREAMED
        body = events(0, EVENTS) if streamed else BODY
        if whole == 'between events':
            body = events(0, BREAK)
        elif whole == 'inside an event':
            body = b'%sid: %d\ndata: ha' % (events(0, BREAK), BREAK)
        elif whole == 'midway':
            body = BODY[:BREAK]
        if how == 'chunked':
            body = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
        peer.writer.write(peer.answer(CHUNKED if how == 'chunked' else b'', body))
        await peer.writer.drain()
        await anyio.sleep(0.02)
        if how == 'reset':
            peer.reset()
        elif how == 'closed':
            peer.writer.close()
