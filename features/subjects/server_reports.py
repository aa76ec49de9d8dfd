"""Subject: streams at a server on real sockets that reports when it was born, or something else."""

import asyncio
from collections.abc import Callable
from types import MappingProxyType

import anyio

from endivesaddle.backend_servers.connection_pool import ConnectionPool
from endivesaddle.backend_servers.forward_client import ForwardClient
from endivesaddle.fleet.clock import MonotonicClock
from endivesaddle.fleet.interfaces import NeverSent, ServerLost
from endivesaddle.fleet.routes.declared import Repeat, Route, RouteServer, Target
from endivesaddle.fleet.routes.forwarded import ForwardRequest, ServerCall
from endivesaddle.fleet.routes.header_names import HeaderNames
from subjects.users_platform import module

GUARD_S = 20
BORN_UNIX_MS = 1796365944012
EVENT_S = 0.1
HEAD = 'HTTP/1.1 200 OK\r\nendivesaddle-seal: s\r\nendivesaddle-request-id: '
CHUNKED = '\r\ntransfer-encoding: chunked\r\n\r\n'
EVENT = b'6\r\nid: 0\n\r\n1\r\n\n\r\n'
END = b'0\r\n\r\n'
NOT_FOUND = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n%s\r\n'
CLOSE = b'Connection: close\r\n'
LATE_REFUSAL = (
    b'HTTP/1.1 503 Full\r\nendivesaddle-request-id: earlier\r\n'
    b'endivesaddle-not-run: 1\r\nContent-Length: 0\r\n\r\n'
)
BRACKETS = b'[' * 5000
ROUTE = Route(
    'r', 'boards', '/b/', Repeat.STREAMED, 4000, 500, 1, (Target('plain', 1),), 2, False, True
)


def _report(document: bytes) -> bytes:
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s' % (len(document), document)


REPORTS: MappingProxyType[str, Callable[[int], bytes]] = MappingProxyType(
    {
        'when it was born': lambda born: _report(b'{"busy":false,"born":%d}' % born),
        'nothing': lambda _: NOT_FOUND % b'',
        'nothing and closes': lambda _: NOT_FOUND % CLOSE,
        'no time of birth': lambda _: _report(b'{"busy":false}'),
        'a birth that is text': lambda born: _report(b'{"born":"%d"}' % born),
        'brackets without end': lambda _: _report(b'{"born":%s' % BRACKETS),
        'more than it may': lambda _: _report(b' ' * (1 << 20)),
        'never': lambda _: b'',
    }
)


class ServerOfStreams:
    """One server, and the streams that a router gets from it."""

    def __init__(self, report: str) -> None:
        """Report as named by ``report``."""
        self.whole_count = 0
        self.asked_count = 0
        self.closes_once = False
        self.first_answer = b''
        self.report_after_s = 0.0
        self.left_s = GUARD_S
        self.told_ms = 0
        self._report = REPORTS[report]
        self._born_unix_ms = BORN_UNIX_MS
        self._breaks = False
        self._runner = asyncio.Runner()
        self._address = ''
        self._writers: list[asyncio.StreamWriter] = []
        self._client = self._runner.run(self._open())

    def close(self) -> None:
        """End everything."""
        for writer in self._writers:
            writer.transport.abort()
        self._runner.close()

    def start_again(self) -> None:
        """Be another incarnation."""
        self._born_unix_ms += 1

    def break_stream(self) -> None:
        """Break one stream after its first event."""
        self._breaks = True
        self._runner.run(self._read(-1))
        self._breaks = False

    def read_in_turn(self, count: int) -> None:
        """Get streams one after the other."""
        for number in range(count):
            self._runner.run(self._read(number))

    def read_side_by_side(self, count: int) -> None:
        """Get streams, each of which begins before the end of the one before."""
        self._runner.run(self._read_side_by_side(count))

    async def _open(self) -> ForwardClient:
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self._address = f'{host}:{port}'
        reports = module('documents').WorkerReports()
        return ForwardClient(ConnectionPool(), HeaderNames(), MonotonicClock(), reports=reports)

    async def _read_side_by_side(self, count: int) -> None:
        async with anyio.create_task_group() as group:
            for number in range(count):
                group.start_soon(self._read, number)
                await anyio.sleep(EVENT_S * 1.5)

    async def _read(self, number: int) -> None:
        now_unix_s = MonotonicClock().now_s()
        request = ForwardRequest(
            request_id=str(number),
            route=ROUTE,
            account=None,
            method='POST',
            target='/b/x',
            headers=(('host', 'boards'), ('endivesaddle-request-id', str(number))),
            body=b'',
            deadline_unix_s=now_unix_s + GUARD_S,
            end_unix_s=now_unix_s + self.left_s,
            prompt_tokens=0,
            max_tokens=0,
            parts=(),
            last_event=-1,
            began_unix_s=now_unix_s,
        )
        server = RouteServer('i-1', 'plain', self._address, 'porto-a', 4, False, BORN_UNIX_MS)
        call = ServerCall(request, server, request.end_unix_s, -1, lambda: True)
        try:
            with anyio.fail_after(GUARD_S):
                async with self._client.exchange(call) as response:
                    events = [event async for event in response.events()]
        except (NeverSent, ServerLost):
            return
        assert len(events) == 2, events
        self.whole_count += 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        try:
            while not writer.is_closing():
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                if head.startswith('GET /report '):
                    await anyio.sleep(self.report_after_s)
                    self._answer_report(writer)
                else:
                    await self._answer(head, writer)
        except (OSError, EOFError):
            writer.close()

    def _answer_report(self, writer: asyncio.StreamWriter) -> None:
        self.asked_count += 1
        report = self._report(self._born_unix_ms)
        if self.first_answer:
            report = self.first_answer
            self.first_answer = b''
        if self.closes_once:
            self.closes_once = False
            report = report.replace(b'Content-Length', b'%sContent-Length' % CLOSE)
        if report != CLOSE:
            writer.write(report)
        if CLOSE in report:
            writer.close()

    async def _answer(self, head: str, writer: asyncio.StreamWriter) -> None:
        self.told_ms = int(head.partition('endivesaddle-deadline-ms: ')[2].partition('\r')[0])
        request_id = head.partition('endivesaddle-request-id: ')[2].partition('\r')[0]
        writer.write(f'{HEAD}{request_id}{CHUNKED}'.encode())
        for _ in range(2):
            await anyio.sleep(EVENT_S)
            writer.write(EVENT)
            if self._breaks:
                writer.close()
                return
        writer.write(END)
