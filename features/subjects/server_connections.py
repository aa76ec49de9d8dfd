"""Subject: requests to a backend server on real sockets with scripted responses."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Sequence
from types import MappingProxyType

import anyio

from endivesaddle.backend_servers.connection_pool import ConnectionPool
from endivesaddle.backend_servers.forward_client import ForwardClient
from endivesaddle.backend_servers.server_connection import MAX_BUFFERED_BYTES
from endivesaddle.fleet.clock import MonotonicClock
from endivesaddle.fleet.interfaces import NeverSent, ServerLost, ServerRefused
from endivesaddle.fleet.routes.declared import Repeat, Route, RouteAccount, RouteServer, Target
from endivesaddle.fleet.routes.forwarded import ForwardRequest, ServerCall
from endivesaddle.fleet.routes.header_names import HeaderNames

GUARD_S = 20
TARGET = '/b/%C3%A4;x=1//y?q=%2F&r'
SMALL = b'small'
LARGE = b'y' * (3 << 20)
DECLINED_BYTES = MAX_BUFFERED_BYTES + 1000
ANSWER = b'HTTP/1.1 200 OK\r\nendivesaddle-request-id: %d\r\nendivesaddle-seal: x\r\n%s\r\n%s'
OTHERS = ANSWER % (999, b'content-length: 5\r\n', b'other')
CHUNKED = b'transfer-encoding: chunked\r\n'
RESET_AT_ONCE = struct.pack('ii', 1, 0)


class Peer:
    """The server's end of a connection, while it answers request ``number``."""

    def __init__(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Use both directions of the connection."""
        self.number = number
        self.reader = reader
        self.writer = writer

    def answer(self, framing: bytes, body: bytes) -> bytes:
        """Return the bytes of a response to this request."""
        return ANSWER % (self.number, framing, body)

    def whole(self) -> bytes:
        """Return a complete response."""
        return self.answer(b'content-length: 4\r\n', b'body')

    def reset(self) -> None:
        """Reset the connection."""
        raw = self.writer.get_extra_info('socket')
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_ONCE)
        self.writer.close()


TURNS = 20

Script = Callable[[Peer], Awaitable[None]]


async def whole(peer: Peer) -> None:
    """Send a complete response."""
    peer.writer.write(peer.whole())


async def chunked(peer: Peer) -> None:
    """Send a chunked response."""
    peer.writer.write(peer.answer(CHUNKED, b'2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n'))


async def until_closed(peer: Peer) -> None:
    """Send a response without a length that ends with the connection."""
    peer.writer.write(peer.answer(b'', b'body'))
    peer.writer.close()


async def until_reset(peer: Peer) -> None:
    """Send a response without a length, and reset the connection."""
    peer.writer.write(peer.answer(b'', b'body'))
    await peer.writer.drain()
    await anyio.sleep(0)
    peer.reset()


async def short(peer: Peer) -> None:
    """Close the connection before the body is complete."""
    peer.writer.write(peer.answer(b'content-length: 9\r\n', b'body'))
    peer.writer.close()


async def unfinished(peer: Peer) -> None:
    """Close the connection before the last chunk."""
    peer.writer.write(peer.answer(CHUNKED, b'4\r\nbody\r\n'))
    peer.writer.close()


async def closed(peer: Peer) -> None:
    """Close the connection without a response."""
    peer.writer.close()


async def no_answer(peer: Peer) -> None:
    """Send bytes that are not an HTTP response."""
    peer.writer.write(b'\x00\x01 what is this\r\n\r\n')


async def stray(peer: Peer) -> None:
    """Send extra bytes after a complete response, in the same packet."""
    peer.writer.writelines((peer.whole(), b'\x00stray bytes'))


async def doubled(peer: Peer) -> None:
    """Send a second response, to another request, in the same packet."""
    peer.writer.writelines((peer.whole(), OTHERS))


async def doubled_late(peer: Peer) -> None:
    """Send a second response, to another request, after the first was read."""
    peer.writer.write(peer.whole())
    await peer.writer.drain()
    await _turns()
    peer.writer.write(OTHERS)


def repeated(peer: Peer, framing: bytes, body: bytes) -> bytes:
    """Return a response to the request before this one."""
    return ANSWER % (peer.number - 1, framing, body)


REFUSAL = b'content-length: 4\r\nendivesaddle-not-run: 1'


async def repeats(peer: Peer) -> None:
    """Repeat the response to the request before, then respond, in one packet."""
    peer.writer.writelines((repeated(peer, b'content-length: 5\r\n', b'other'), peer.whole()))


async def repeats_slowly(peer: Peer) -> None:
    """Repeat the response to the request before in pieces, then respond."""
    late = repeated(peer, CHUNKED, b'5\r\nother\r\n0\r\n\r\n')
    for start in range(0, len(late), 20):
        peer.writer.write(late[start : start + 20])
        await _turns()
    peer.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
    peer.writer.write(peer.whole())


async def repeats_refusal(peer: Peer) -> None:
    """Repeat a refusal, then respond."""
    peer.writer.write(repeated(peer, b'%b\r\n' % REFUSAL, b'full'))
    await _turns()
    peer.writer.write(peer.whole())


async def declines(peer: Peer) -> None:
    """Decline the request with a body that is larger than what is read ahead."""
    refusal = b'content-length: %d\r\nendivesaddle-not-run: 1\r\n' % DECLINED_BYTES
    peer.writer.write(peer.answer(refusal, b'x' * DECLINED_BYTES))


async def repeats_twice(peer: Peer) -> None:
    """Repeat the response to the request before twice, then respond."""
    late = repeated(peer, b'content-length: 5\r\n', b'other')
    peer.writer.writelines((late, late, peer.whole()))


async def repeats_unframed(peer: Peer) -> None:
    """Repeat the response to the request before, without a length."""
    peer.writer.writelines((repeated(peer, b'', b'other'), peer.whole()))


async def repeats_and_closes(peer: Peer) -> None:
    """Repeat the response to the request before, and close the connection."""
    peer.writer.write(repeated(peer, b'content-length: 5\r\n', b'other'))
    peer.writer.close()


async def repeats_and_strays(peer: Peer) -> None:
    """Send bytes that are no response between a repetition and the response."""
    late = repeated(peer, b'content-length: 5\r\n', b'other')
    peer.writer.writelines((late, b'\x00stray bytes', peer.whole()))


async def repeats_and_breaks(peer: Peer) -> None:
    """Repeat the response to the request before, then close within the response."""
    late = repeated(peer, b'content-length: 5\r\n', b'other')
    peer.writer.writelines((late, peer.answer(b'content-length: 9\r\n', b'body')))
    peer.writer.close()


async def unknown(peer: Peer) -> None:
    """Respond to a request that the connection has not carried, then to this one."""
    peer.writer.writelines((OTHERS, peer.whole()))


async def unnamed(peer: Peer) -> None:
    """Refuse without naming a request."""
    refusal = b'HTTP/1.1 503 Full\r\nendivesaddle-not-run: 1\r\ncontent-length: 0\r\n\r\n'
    peer.writer.writelines((refusal, peer.whole()))


async def interim(peer: Peer) -> None:
    """Send an interim response before the response."""
    peer.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
    peer.writer.write(peer.whole())


async def closes_after(peer: Peer) -> None:
    """Close the connection after a complete response without announcing it."""
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
            repeats,
            repeats_slowly,
            repeats_refusal,
            declines,
            repeats_twice,
            repeats_unframed,
            repeats_and_closes,
            repeats_and_strays,
            repeats_and_breaks,
            unknown,
            unnamed,
        )
    }
)


class ServerConnections:
    """One server, and the requests that a router sends to it in turn."""

    def __init__(self, scripts: Sequence[str]) -> None:
        """Answer the requests with the named ``scripts`` in order."""
        self.outcomes: list[str] = []
        self.heads: list[str] = []
        self.bodies: list[bytes] = []
        self.opened_count = 0
        self.gone_before_answer = False
        self.checks: list[str] = []
        self._scripts = scripts
        self._closed = anyio.Event()

    def request(self, body: bytes = SMALL) -> None:
        """Send one request for each script."""
        anyio.run(self._play, self._each, body)

    def check(self) -> None:
        """Check the server, send the requests, and check again after it has ended."""
        anyio.run(self._check)

    def cancel(self) -> None:
        """Send a request that is not answered, and cancel it."""
        anyio.run(self._play, self._cancel, SMALL)

    async def _check(self) -> None:
        client = ForwardClient(ConnectionPool(), HeaderNames(), MonotonicClock())
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        address = f'{host}:{port}'
        call = _call(0, address, SMALL)
        self.checks.append(await _check_server(client, call.server))
        for number, _ in enumerate(self._scripts):
            self.outcomes.append(await self._sent(client, _call(number, address, SMALL)))
        self.opened_count = client.pool.opened_count
        server.close()
        await server.wait_closed()
        self.checks.append(await _check_server(client, call.server))

    async def _play(self, play: Callable[[str, bytes], Awaitable[None]], body: bytes) -> None:
        with anyio.fail_after(GUARD_S):
            server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
            host, port = server.sockets[0].getsockname()
            await play(f'{host}:{port}', body)
            server.close()

    async def _each(self, address: str, body: bytes) -> None:
        client = ForwardClient(ConnectionPool(), HeaderNames(), MonotonicClock())
        for number, _ in enumerate(self._scripts):
            self.outcomes.append(await self._sent(client, _call(number, address, body)))
            while len(self.bodies) < len(self.heads):
                await anyio.sleep(0)
            await _turns()
        self.opened_count = client.pool.opened_count

    async def _cancel(self, address: str, body: bytes) -> None:
        client = ForwardClient(ConnectionPool(), HeaderNames(), MonotonicClock())
        async with anyio.create_task_group() as group:
            group.start_soon(self._sent, client, _call(0, address, body))
            while not self.bodies:
                await anyio.sleep(0)
            group.cancel_scope.cancel()
        await self._closed.wait()

    async def _sent(self, client: ForwardClient, call: ServerCall) -> str:
        try:
            async with client.exchange(call) as answer:
                if not answer.own:
                    return "another's"
                if answer.declined:
                    # As a router does, which reads no more of it.
                    await _turns()
                    return 'declined'
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
            self._closed.set()
            writer.close()


async def _check_server(client: ForwardClient, server: RouteServer) -> str:
    """Check a server as a router does after a broken run."""
    try:
        await client.check(server)
    except ServerRefused:
        return 'refuses'
    return 'listens'


async def _turns() -> None:
    """Let the event loop read all pending socket data."""
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
