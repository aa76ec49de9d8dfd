"""Backend servers on loopback sockets with scripted behaviour, and the truth of what they ran."""

import asyncio
import re
import socket
import struct
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from random import Random
from typing import NamedTuple

from anyio import lowlevel

ID = b'endivesaddle-request-id'
SEAL = b'endivesaddle-seal: x'
REFUSAL = b'endivesaddle-not-run: 1'
EVENTS = 5
SUCCESSES = range(200, 300)
SETTLE_S = 5.0
MAX_SHOWN_BYTES = 200
BY_LENGTH = 'length'
BY_CHUNKS = 'chunks'
BY_CLOSE = 'close'
STREAMED_TARGETS = ('/streamed', '/resumable')

_RESET_AT_ONCE = struct.pack('ii', 1, 0)
_IDENTITY = re.compile(rb'\r\nendivesaddle-request-id: ([^\r]*)', re.IGNORECASE)
_LENGTH = re.compile(rb'\r\ncontent-length: (\d+)', re.IGNORECASE)
_LAST_EVENT = re.compile(rb'\r\nlast-event-id: (\d+)', re.IGNORECASE)
_TARGET = re.compile(rb' (/\S*)')


class Reply(NamedTuple):
    """A response as a server sends it: what it says of the request, and its framing.

    ``ids`` are the requests that it names; ``trailer`` adds the header of a refusal behind a body
    in chunks.
    """

    status: int
    ids: tuple[str, ...]
    body: bytes = b''
    refused: bool = False
    sealed: bool = False
    framing: str = BY_LENGTH
    trailer: bool = False

    def states_not_run(self, request_id: str) -> bool:
        """Return whether it states, without contradicting itself, that the request did not run."""
        consistent = not self.sealed and self.status not in SUCCESSES
        return self.refused and consistent and self.ids == (request_id,)

    def head(self) -> bytes:
        """Return the bytes of the head."""
        lines = [b'HTTP/1.1 %d Scripted' % self.status]
        lines.extend(b'%s: %s' % (ID, name.encode()) for name in self.ids)
        if self.refused:
            lines.append(REFUSAL)
        if self.sealed:
            lines.append(SEAL)
        if self.framing == BY_LENGTH:
            lines.append(b'content-length: %d' % len(self.body))
        elif self.framing == BY_CHUNKS:
            lines.append(b'transfer-encoding: chunked')
        return b'%s\r\n\r\n' % b'\r\n'.join(lines)

    def encoded(self) -> bytes:
        """Return all its bytes."""
        if self.framing != BY_CHUNKS:
            return self.head() + self.body
        chunk = b'%x\r\n%s\r\n' % (len(self.body), self.body) if self.body else b''
        trailer = b'%s\r\n' % REFUSAL if self.trailer else b''
        return b'%s%s0\r\n%s\r\n' % (self.head(), chunk, trailer)


class Ledger:
    """What all servers together began to run, and the complete answers that they sent."""

    def __init__(self) -> None:
        """Initialize empty."""
        self.begun: Counter[str] = Counter()
        self.sent: defaultdict[str, set[bytes]] = defaultdict(set)
        self.received: Counter[str] = Counter()
        self.refused: set[str] = set()
        self.odd = 0
        self.notes: defaultdict[str, list[str]] = defaultdict(list)


def events(request_id: str, first: int, last: int) -> bytes:
    """Return the numbered events of the stream that answers a request."""
    return b''.join(
        b'id: %d\ndata: %s\n\n' % (number, request_id.encode()) for number in range(first, last)
    )


def shortened(reply: Reply) -> str:
    """Return the text of a response for a trace, without most of a long body."""
    return f'{reply._replace(body=reply.body[:MAX_SHOWN_BYTES])} with {len(reply.body)} bytes'


class Channel:
    """The server's end of one connection, with the requests and responses that it carried."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Use both directions of the connection."""
        self.reader = reader
        self.writer = writer
        self.ids: list[str] = []
        self.replies: list[Reply] = []
        self.half_closed = False

    def close(self) -> None:
        """Close the connection in order."""
        self.writer.close()

    def reset(self) -> None:
        """Reset the connection."""
        if self.writer.is_closing():
            return
        raw = self.writer.get_extra_info('socket')
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_ONCE)
        self.writer.transport.abort()

    def half_close(self) -> None:
        """Send no more; what is received is still read."""
        if not self.writer.is_closing():
            self.half_closed = True
            with suppress(OSError):
                self.writer.write_eof()

    async def flush(self) -> None:
        """Give the peer the turns in which it reads what was written."""
        for _ in range(20):
            await lowlevel.checkpoint()


class Exchange:
    """One request at a server: what the script of the server acts on."""

    def __init__(self, server: 'ScriptedServer', channel: Channel, head: bytes) -> None:
        """Read the head of a request."""
        self.server = server
        self.channel = channel
        found = _IDENTITY.search(head)
        self.request_id = found.group(1).decode() if found else ''
        length = _LENGTH.search(head)
        self._unread_bytes = int(length.group(1)) if length else 0
        last_event = _LAST_EVENT.search(head)
        self.first_event = int(last_event.group(1)) + 1 if last_event else 0
        target = _TARGET.search(head)
        self.target = target.group(1).decode() if target else ''
        self.bodiless = head.startswith(b'HEAD ')
        self.streamed = self.target.startswith(STREAMED_TARGETS)
        self.number = len(channel.ids)
        self.body_bytes = 0
        self.ledger = server.ledger

    async def read(self) -> None:
        """Read the body, unless it has been read."""
        size = self._unread_bytes
        self._unread_bytes = 0
        await self.channel.reader.readexactly(size)

    def begin(self) -> None:
        """Begin to run the request."""
        self.ledger.begun[self.request_id] += 1
        self.note('began')

    def note(self, text: str) -> None:
        """Note a step for the trace of the request."""
        self.ledger.notes[self.request_id].append(f'{self.server.name}: {text}')

    def body(self) -> bytes:
        """Return the body of the answer."""
        if self.streamed:
            return events(self.request_id, self.first_event, EVENTS)
        return self.text(self.request_id)

    def text(self, request_id: str) -> bytes:
        """Return the text that answers a request, as long as this exchange says."""
        return f'{request_id} by {self.server.name}'.encode().ljust(self.body_bytes, b'.')

    def answer(self) -> Reply:
        """Return the complete answer."""
        return Reply(200, (self.request_id,), self.body(), sealed=True)

    def refusal(self, status: int = 503) -> Reply:
        """Return a refusal that states that the request did not run."""
        return Reply(status, (self.request_id,), b'refused', refused=True)

    def send(self, reply: Reply) -> None:
        """Send a complete response."""
        self.note(f'sent {shortened(reply)}')
        if reply.sealed and reply.ids == (self.request_id,) and reply.status in SUCCESSES:
            self.ledger.sent[self.request_id].add(reply.body)
        if reply.states_not_run(self.request_id):
            self.ledger.refused.add(self.request_id)
        self.channel.replies.append(reply)
        self.channel.writer.write(reply.head() if self.bodiless else reply.encoded())


Script = Callable[[Exchange], Awaitable[None]]


async def sound(exchange: Exchange) -> None:
    """Run the request and answer it."""
    await exchange.read()
    exchange.begin()
    exchange.send(exchange.answer())


class ScriptedServer:
    """One server; ``script`` plays each request that it gets.

    It closes connections at once but for a share ``accepts`` of them, and refuses all others after
    ``refuses_after`` requests unless that is 0.
    """

    def __init__(self, name: str, ledger: Ledger, script: Script = sound) -> None:
        """Initialize without a listener."""
        self.name = name
        self.ledger = ledger
        self.address = ''
        self.script = script
        self.received = 0
        self.accepts = 1.0
        self.refuses_after = 0
        self.draw = Random(name)
        self.others: Sequence[ScriptedServer] = ()
        self._serving: set[asyncio.Task[None]] = set()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = self._listener.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def refuse_connections(self) -> None:
        """Close the listener; connections stay open."""
        assert self._listener is not None
        self._listener.close()

    def leave_alone(self) -> None:
        """Let no server of the play accept connections any more."""
        for server in self.others:
            server.refuse_connections()

    async def settle(self) -> None:
        """Refuse connections, and wait until every request that was received has been played."""
        self.refuse_connections()
        if self._serving:
            _, pending = await asyncio.wait(self._serving, timeout=SETTLE_S)
            assert not pending, f'{self.name} has not settled'

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        channel = Channel(reader, writer)
        try:
            if self.draw.random() >= self.accepts:
                self._turn_away(channel)
                return
            await self._serve(channel)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            channel.close()
            self._serving.discard(task)

    def _turn_away(self, channel: Channel) -> None:
        end = self.draw.choice((channel.close, channel.reset))
        end()

    async def _serve(self, channel: Channel) -> None:
        while True:
            head = await channel.reader.readuntil(b'\r\n\r\n')
            exchange = Exchange(self, channel, head)
            self.received += 1
            if self.received == self.refuses_after:
                self.refuse_connections()
            self.ledger.received[exchange.request_id] += 1
            if channel.half_closed:
                await exchange.read()
                exchange.begin()
                continue
            await self.script(exchange)
            await exchange.read()
            channel.ids.append(exchange.request_id)
