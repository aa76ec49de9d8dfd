"""Subject: a router before servers on real sockets that send bytes without end."""

import asyncio
import tracemalloc
from collections.abc import Callable, Iterator
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
from endivesaddle.fleet.routes.forwarded import ForwardRequest, Pairs
from endivesaddle.fleet.routes.header_names import HeaderNames
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routes.running import Runner
from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from subjects.forward_runs import KINDS, RecordingSink
from subjects.settled_retries import settle
from subjects.unframed_answers import EVENTS, events
from subjects.waiting_fleet import NoBudgets

GUARD_S = 60
DEADLINE_S = 1.5
LONG_DEADLINE_S = 20
TINY_CHUNKS = 'chunks of one byte without end'
TINY_CHUNKS_DEADLINE_S = 6
"""Longer, as two million chunks come before the body is relayed."""
SOUND_DEADLINE_S = 10
SOUND_GAP_S = 0.05
TRICKLE_S = 0.01
SLOW_S = 0.01
"""Time that a slow caller takes for a part of its answer."""
WRITTEN = 1 << 16
MAX_SENT = 400 << 20
"""A server stops by itself after so many bytes."""
LARGE = 24 << 20
BODY = b'a sound body'
ENDLESS = '/endless'
HEAD = b'HTTP/1.1 %d x\r\nendivesaddle-request-id: %s\r\nendivesaddle-seal: x\r\n'
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
CHUNK = b'10000\r\n%s\r\n' % (b'x' * WRITTEN)
SMALL = b'1\r\nx\r\n'
# A start of the response, its status and the part that is repeated.
KINDS_OF_BYTES = MappingProxyType(
    {
        'a success without end': (b'\r\n', 200, b'x' * WRITTEN),
        'a chunked success without end': (CHUNKED, 200, CHUNK),
        'a success of a huge length': (b'content-length: 99999999999\r\n\r\n', 200, b'x' * WRITTEN),
        'an error without end': (b'\r\n', 500, b'x' * WRITTEN),
        'a chunked error without end': (CHUNKED, 500, CHUNK),
        'a refusal without end': (b'\r\n', 503, b'x' * WRITTEN),
        'a header line without end': (b'x-more: ', 200, b'x' * WRITTEN),
        'headers without end': (b'', 200, b'x-more: yes\r\n' * 5000),
        'interim responses without end': (None, 200, b'HTTP/1.1 102 Processing\r\n\r\n' * 2000),
        'trailers without end': (b'%s1\r\nx\r\n0\r\n' % CHUNKED, 200, b'x-more: yes\r\n' * 5000),
        'a chunk extension without end': (b'%s1;x=' % CHUNKED, 200, b'x' * WRITTEN),
        TINY_CHUNKS: (CHUNKED, 200, SMALL * 10000),
        'an event without end': (b'\r\ndata: ', 200, b'x' * WRITTEN),
        'empty events without end': (b'\r\n', 200, b'\n\n' * (WRITTEN // 2)),
        'an earlier response without end': (CHUNKED, 200, CHUNK),
        'bytes behind its answer without end': (
            b'content-length: %d\r\n\r\n%s' % (len(BODY), BODY),
            200,
            b'\0' * WRITTEN,
        ),
        'a sound body of 24 MB': (b'content-length: %d\r\n\r\n' % LARGE, 200, b'x' * WRITTEN),
        'a body that breaks off after 24 MB': (
            b'content-length: %d\r\n\r\n' % (2 * LARGE),
            200,
            b'x' * WRITTEN,
        ),
    }
)


class CountingSink(RecordingSink):
    """Counts what a caller gets; a slow caller takes its time for each part."""

    def __init__(self, slow_s: float) -> None:
        """Initialize without an answer."""
        super().__init__()
        self.got_bytes = 0
        self._slow_s = slow_s

    async def write(self, data: bytes) -> None:
        """Take a part."""
        self.got_bytes += len(data)
        if len(self.body) < WRITTEN:
            self.body += data
        await anyio.sleep(self._slow_s)

    async def reply(self, status: int, headers: Pairs, body: bytes) -> None:
        """Take a complete answer."""
        self.got_bytes += len(body)
        await super().reply(status, headers, body[:WRITTEN])


class EndlessResponses:
    """Requests to a router before servers whose first answer, or each, is ``sent_bytes``."""

    def __init__(self, kind: str, sent_bytes: str, count: int = 1, pause_s: float = 0) -> None:
        """Prepare ``count`` requests of a ``kind``; the server pauses after each byte if it does.

        ``held_bytes`` is the most memory that was allocated during the play.
        """
        self.sinks: list[CountingSink] = []
        self.sendings = 0
        self.closed_count = 0
        self.held_bytes = 0
        self.sound_s: list[float] = []
        self._kind = kind
        self._name = sent_bytes
        self._count = count
        self._pause_s = pause_s
        self._slow_s = 0.0
        self._clock = MonotonicClock()
        self._earlier = sent_bytes == 'an earlier response without end'
        self._sound = 'MB' in sent_bytes

    def request(self, slow_s: float = 0) -> None:
        """Forward the requests, to callers that take ``slow_s`` for each part."""
        self._slow_s = slow_s
        tracemalloc.start()
        try:
            anyio.run(self._play)
            self.held_bytes = tracemalloc.get_traced_memory()[1] - self.held_bytes
        finally:
            tracemalloc.stop()

    @property
    def sink(self) -> CountingSink:
        """What the caller of the one request got."""
        return self.sinks[0]

    async def _play(self) -> None:
        with anyio.fail_after(GUARD_S):
            # A repetition of an earlier response needs the connection of that one.
            count = 1 if self._earlier else 2
            servers = [
                await asyncio.start_server(self._serve, '127.0.0.1', 0) for _ in range(count)
            ]
            names = [server.sockets[0].getsockname() for server in servers]
            runner, route, sound = self._router([f'{host}:{port}' for host, port in names])
            await self._ask(runner, self._request(sound, '/sound', SOUND_DEADLINE_S, 0))
            self.held_bytes = tracemalloc.get_traced_memory()[0]
            tracemalloc.reset_peak()
            async with anyio.create_task_group() as group:
                group.start_soon(self._ask_sound, runner, sound)
                await self._ask_all(runner, route)
                group.cancel_scope.cancel()
            with anyio.move_on_after(1):
                while not self.closed_count:
                    await anyio.sleep(SOUND_GAP_S)
            for server in servers:
                server.close()

    async def _ask_all(self, runner: Runner, route: Route) -> None:
        within_s = LONG_DEADLINE_S if self._sound else DEADLINE_S
        if self._name == TINY_CHUNKS and self._count == 1:
            within_s = TINY_CHUNKS_DEADLINE_S
        async with anyio.create_task_group() as group:
            for number in range(self._count):
                request = self._request(route, ENDLESS, within_s, number + 1)
                group.start_soon(self._ask_endless, runner, request)

    def _router(self, addresses: list[str]) -> tuple[Runner, Route, Route]:
        repeat, resumable = KINDS[self._kind]
        target = (Target('a', 1),)
        route = Route('r', 'host', '/', repeat, 30000, 500, 1, target, 3, resumable=resumable)
        sound = Route('s', 'host', '/s', Repeat.UNSAFE, 30000, 500, 1, target, 3)
        state = RoutingState()
        state.declare(Declarations(1, (route, sound), (Service('a', 100),), ()), b'', 'test')
        for address in addresses:
            state.update_server(RouteServer(f'life-{address}', 'a', address, 'one', 400), 'test')
        pools: Any = NoBudgets()
        client = ForwardClient(ConnectionPool(), HeaderNames(), self._clock)
        dispatcher = settle(Dispatcher(ForwardSettings(), state, self._clock, 'one'))
        return Runner(dispatcher, pools, client, self._clock), route, sound

    def _request(self, route: Route, target: str, within_s: float, number: int) -> ForwardRequest:
        now_unix_s = self._clock.now_s()
        headers = (('host', 'host'), ('endivesaddle-request-id', str(number)))
        end_unix_s = now_unix_s + within_s
        return ForwardRequest(
            str(number), route, None, 'GET', target, headers, b'', end_unix_s, end_unix_s, 0, 0, (),
            -1, now_unix_s,
        )  # fmt: skip

    async def _ask_endless(self, runner: Runner, request: ForwardRequest) -> None:
        sink = CountingSink(self._slow_s)
        self.sinks.append(sink)
        await runner.serve(request, sink)

    async def _ask_sound(self, runner: Runner, route: Route) -> None:
        number = 10000
        while True:
            number += 1
            await self._ask(runner, self._request(route, '/sound', SOUND_DEADLINE_S, number))
            await anyio.sleep(SOUND_GAP_S)

    async def _ask(self, runner: Runner, request: ForwardRequest) -> None:
        sink = RecordingSink()
        began_s = self._clock.now_s()
        await runner.serve(request, sink)
        assert (sink.status, sink.body, sink.finished) == (200, BODY, True), sink.refusal
        self.sound_s.append(self._clock.now_s() - began_s)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self._answer(await reader.readuntil(b'\r\n\r\n'), writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            writer.transport.abort()

    async def _answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        lines = head.split(b'\r\n')
        named = next(line for line in lines if b'endivesaddle-request-id: ' in line)
        number = named.partition(b': ')[2]
        if ENDLESS.encode() not in lines[0]:
            writer.write(_whole(number, BODY))
            return
        self.sendings += 1
        if self._count == 1 and self.sendings > 1:
            body = events(0, EVENTS) if KINDS[self._kind][0] is Repeat.STREAMED else BODY
            writer.write(_whole(number, body))
            return
        try:
            await self._flood(b'0' if self._earlier else number, writer)
        except OSError:
            self.closed_count += 1
            raise

    async def _flood(self, number: bytes, writer: asyncio.StreamWriter) -> None:
        start, status, part = KINDS_OF_BYTES[self._name]
        if start is not None:
            writer.write((HEAD % (status, number)) + start)
        limit = LARGE if self._sound else MAX_SENT
        for piece in self._pieces(part, limit):
            writer.write(piece)
            await writer.drain()
            if writer.transport.is_closing():
                raise ConnectionResetError
            await anyio.sleep(self._pause_s)
        if self._name.startswith('a body that breaks off'):
            writer.close()

    def _pieces(self, part: bytes, limit: int) -> Iterator[bytes]:
        if self._pause_s:
            part = part[:1]
        for _ in range(limit // len(part)):
            yield part


def _whole(number: bytes, body: bytes) -> bytes:
    return (HEAD % (200, number)) + b'content-length: %d\r\n\r\n%s' % (len(body), body)


def _broken(sink: CountingSink) -> bool:
    return (sink.status, sink.finished, sink.refusal) == (200, False, None)


def _out_of_time(sink: CountingSink) -> bool:
    return sink.status == 504 and sink.refusal is not None and sink.refusal.not_run != 'true'


def _lost(sink: CountingSink) -> bool:
    return sink.status == 502 and sink.refusal is not None and sink.refusal.not_run != 'true'


def _answered(sink: CountingSink) -> bool:
    return (sink.status, sink.finished) == (200, True) and sink.body in {BODY, events(0, EVENTS)}


ANSWERS: MappingProxyType[str, Callable[[CountingSink], bool]] = MappingProxyType(
    {
        'a broken success': _broken,
        'out of time': _out_of_time,
        'lost': _lost,
        'the whole answer': _answered,
    }
)
