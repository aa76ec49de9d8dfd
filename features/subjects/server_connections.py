"""Subject: requests to a backend server on real sockets, whose bytes the scenario chooses."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Sequence
from types import MappingProxyType

import anyio

from endivesaddle.backend_servers.connection_pool import ConnectionPool
from endivesaddle.backend_servers.forward_client import ForwardClient
from endivesaddle.fleet.clock import MonotonicClock
from endivesaddle.fleet.interfaces import NeverSent, ServerLost, ServerRefused
from endivesaddle.fleet.routes.declared import Repeat, Route, RouteAccount, RouteServer, Target
from endivesaddle.fleet.routes.forwarded import ForwardRequest, ServerCall
from endivesaddle.fleet.routes.header_names import HeaderNames

GUARD_S = 20
TARGET = '/b/%C3%A4;x=1//y?q=%2F&r'
SMALL = b'small'
LARGE = b'y' * (3 << 20)
ANSWER = b'HTTP/1.1 200 OK\r\nendivesaddle-request-id: %d\r\nendivesaddle-seal: x\r\n%s\r\n%s'
OTHERS = ANSWER % (999, b'content-length: 5\r\n', b'other')
CHUNKED = b'transfer-encoding: chunked\r\n'
RESET_AT_ONCE = struct.pack('ii', 1, 0)


class Peer:
    """The server's end of a connection, while it answers request ``number``."""

    def __init__(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Hold on to both directions."""
        self.number = number
        self.reader = reader
        self.writer = writer

    def answer(self, framing: bytes, body: bytes) -> bytes:
        """Return the bytes of an answer to this request."""
        return ANSWER % (self.number, framing, body)

    def whole(self) -> bytes:
        """Return a whole answer."""
        return self.answer(b'content-length: 4\r\n', b'body')

    def reset(self) -> None:
        """Reset the connection."""
        raw = self.writer.get_extra_info('socket')
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_ONCE)
        self.writer.close()


TURNS = 20

Script = Callable[[Peer], Awaitable[None]]


async def whole(peer: Peer) -> None:
    """Answer whole."""
    peer.writer.write(peer.whole())


async def chunked(peer: Peer) -> None:
    """Answer in chunks."""
    peer.writer.write(peer.answer(CHUNKED, b'2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n'))


async def until_closed(peer: Peer) -> None:
    """Answer without a length, and end with the connection."""
    peer.writer.write(peer.answer(b'', b'body'))
    peer.writer.close()


async def until_reset(peer: Peer) -> None:
    """Answer without a length, on a connection that is reset."""
    peer.writer.write(peer.answer(b'', b'body'))
    await peer.writer.drain()
    await anyio.sleep(0)
    peer.reset()


async def short(peer: Peer) -> None:
    """Close the connection before the body is whole."""
    peer.writer.write(peer.answer(b'content-length: 9\r\n', b'body'))
    peer.writer.close()


async def unfinished(peer: Peer) -> None:
    """Close the connection before the last chunk."""
    peer.writer.write(peer.answer(CHUNKED, b'4\r\nbody\r\n'))
    peer.writer.close()


async def closed(peer: Peer) -> None:
    """Close the connection without an answer."""
    peer.writer.close()


async def no_answer(peer: Peer) -> None:
    """Send bytes that are no answer."""
    peer.writer.write(b'\x00\x01 what is this\r\n\r\n')


async def stray(peer: Peer) -> None:
    """Send bytes behind a whole answer, in the same packet."""
    peer.writer.writelines((peer.whole(), b'\x00stray bytes'))


async def doubled(peer: Peer) -> None:
    """Send the answer of another request behind this one's, in the same packet."""
    peer.writer.writelines((peer.whole(), OTHERS))


async def doubled_late(peer: Peer) -> None:
    """Send the answer of another request when this one's was read."""
    peer.writer.write(peer.whole())
    await peer.writer.drain()
    await _turns()
    peer.writer.write(OTHERS)


async def interim(peer: Peer) -> None:
    """Send a word of its own before the answer."""
    peer.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
    peer.writer.write(peer.whole())


async def closes_after(peer: Peer) -> None:
    """Close the connection behind a whole answer, without having said so."""
    peer.writer.write(peer.whole())
    peer.writer.close()


SCRIPTS: MappingProxyType[str, Script] = MappingProxyType(
    {
        one.__name__.replace('_', ' '): one
        for one in (
            whole,
            chunked,
            until_closed,
            until_reset,
            short,
            unfinished,
            closed,
            no_answer,
            stray,
            doubled,
            doubled_late,
            interim,
            closes_after,
        )
    }
)


class ServerConnections:
    """One server, and the requests that a router sends to it one after the other."""

    def __init__(self, scripts: Sequence[str]) -> None:
        """Answer the requests as ``scripts`` say, by their names."""
        self.outcomes: list[str] = []
        self.heads: list[str] = []
        self.bodies: list[bytes] = []
        self.opened_count = 0
        self.gone_before_answer = False
        self.looks: list[str] = []
        self._scripts = scripts
        self._left = anyio.Event()

    def request(self, body: bytes = SMALL) -> None:
        """Send one request for each script."""
        anyio.run(self._play, self._each, body)

    def look(self) -> None:
        """Look whether the server listens, send the requests, and look again when it ended."""
        anyio.run(self._look)

    def leave(self) -> None:
        """Send a request that nobody answers, and give it up."""
        anyio.run(self._play, self._given_up, SMALL)

    async def _look(self) -> None:
        links = ForwardClient(ConnectionPool(), HeaderNames(), MonotonicClock())
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        address = f'{host}:{port}'
        call = _call(0, address, SMALL)
        self.looks.append(await _seen(links, call.server))
        for number, _ in enumerate(self._scripts):
            self.outcomes.append(await self._sent(links, _call(number, address, SMALL)))
        self.opened_count = links.pool.opened_count
        server.close()
        await server.wait_closed()
        self.looks.append(await _seen(links, call.server))

    async def _play(self, play: Callable[[str, bytes], Awaitable[None]], body: bytes) -> None:
        with anyio.fail_after(GUARD_S):
            server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
            host, port = server.sockets[0].getsockname()
            await play(f'{host}:{port}', body)
            server.close()

    async def _each(self, address: str, body: bytes) -> None:
        links = ForwardClient(ConnectionPool(), HeaderNames(), MonotonicClock())
        for number, _ in enumerate(self._scripts):
            self.outcomes.append(await self._sent(links, _call(number, address, body)))
            while len(self.bodies) < len(self.heads):
                await anyio.sleep(0)
            await _turns()
        self.opened_count = links.pool.opened_count

    async def _given_up(self, address: str, body: bytes) -> None:
        links = ForwardClient(ConnectionPool(), HeaderNames(), MonotonicClock())
        async with anyio.create_task_group() as group:
            group.start_soon(self._sent, links, _call(0, address, body))
            while not self.bodies:
                await anyio.sleep(0)
            group.cancel_scope.cancel()
        await self._left.wait()

    async def _sent(self, links: ForwardClient, call: ServerCall) -> str:
        try:
            async with links.exchange(call) as answer:
                if not answer.own:
                    return "another's"
                return (await answer.whole()).decode()
        except NeverSent:
            return 'never sent'
        except ServerLost:
            return 'lost'

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                self.heads.append(head)
                number = len(self.heads) - 1
                size = int(head.partition('content-length: ')[2].partition('\r')[0])
                script = SCRIPTS.get(self._scripts[number])
                if self._scripts[number] == 'early':
                    await whole(Peer(number, reader, writer))
                self.bodies.append(await reader.readexactly(size))
                if script is not None:
                    await script(Peer(number, reader, writer))
        except (asyncio.IncompleteReadError, ConnectionError):
            self._left.set()
            writer.close()


async def _seen(links: ForwardClient, server: RouteServer) -> str:
    """Look at a server as a router does after a run that broke."""
    try:
        await links.check(server)
    except ServerRefused:
        return 'refuses'
    return 'listens'


async def _turns() -> None:
    """Let what lies in the sockets of this process be read."""
    for _ in range(TURNS):
        await anyio.sleep(0)


def _call(number: int, address: str, body: bytes) -> ServerCall:
    now_unix_s = MonotonicClock().now_s()
    route = Route('r', 'boards', '/b/', Repeat.SAFE, 4000, 500, 1, (Target('plain', 1),))
    request = ForwardRequest(
        request_id=str(number),
        route=route,
        account=RouteAccount('ateliers', ()),
        method='POST',
        target=TARGET,
        headers=(('host', 'boards'), ('endivesaddle-request-id', str(number))),
        body=body,
        deadline_unix_s=now_unix_s + 10,
        end_unix_s=now_unix_s + 10,
        prompt_tokens=0,
        max_tokens=0,
        parts=(),
        last_event=-1,
        began_unix_s=now_unix_s,
    )
    server = RouteServer('life-1', 'plain', address, 'porto-a', 4)
    return ServerCall(request, server, request.end_unix_s, -1, lambda: True)
