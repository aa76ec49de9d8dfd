"""Subject: the listener of a router that is out of the rotation, on a real socket."""

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any

import anyio

from endivesaddle.callers.forward_app import ForwardApp, ForwardParts, Stopping
from endivesaddle.callers.forward_metrics import ForwardMetrics
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.daemon.forward_http import serve_http
from endivesaddle.fleet.clock import MonotonicClock
from endivesaddle.fleet.overload.actions import close_connections
from endivesaddle.fleet.overload.level import Measured
from endivesaddle.fleet.overload.overload import Overload
from endivesaddle.fleet.overload.reports import OverloadReports
from endivesaddle.fleet.overload.settings import SHED, OverloadSettings
from endivesaddle.fleet.routes.declared import Declarations, Repeat, Route, Target
from endivesaddle.fleet.routes.departures import Caller, Departures
from endivesaddle.fleet.routes.header_names import HeaderNames
from endivesaddle.fleet.routes.routing_state import RoutingState

TICK_S = 0.1
GUARD_S = 20


class OutListener:
    """The listener of a router that is out of the rotation, on a real socket."""

    def __init__(self) -> None:
        """Initialize with one public route."""
        self.responses: list[bytes] = []
        self.other_open = False
        self.sent_bytes = 0
        self._clock = MonotonicClock()
        self._overload = Overload(
            OverloadSettings(SHED), OverloadReports('router-0', 'porto-a'), Random(1)
        )
        self._overload.rotation.out = True
        self._overload.rotation.probed()
        self._overload.rotation.probed()
        self.traffic = self._overload.traffic
        route = Route('r', 'a', '/', Repeat.SAFE, 9000, 500, 1, (Target('s', 1),), public=True)
        self._routing_state = RoutingState()
        self._routing_state.declare(Declarations(1, (route,), (), ()), b'', 'test')

    async def serve(self, _: Any, sink: Any, caller: Caller) -> None:
        """Answer a request, in place of a server."""
        await sink.reply(200, (), b'{}')

    def play(self) -> None:
        """Send requests on one connection and none on another one after its first."""
        anyio.run(self._play)

    async def _play(self) -> None:
        runner: Any = SimpleNamespace(serve=self.serve, departures=Departures(self._clock))
        metrics = ForwardMetrics(dict)
        stopping = Stopping(lambda: True)
        settings, closed = CallersSettings(), anyio.Event()
        parts = ForwardParts(
            settings,
            HeaderNames(),
            self._routing_state,
            runner,
            self._clock,
            metrics,
            stopping,
            self._overload,
        )
        listening = (settings, self._routing_state, closed, self.traffic)
        with anyio.fail_after(GUARD_S):
            async with anyio.create_task_group() as group:
                address = await group.start(
                    serve_http, ForwardApp(parts), '127.0.0.1:0', *listening
                )
                host, _, port = address.rpartition(':')
                busy = await asyncio.open_connection(host, int(port))
                idle = await asyncio.open_connection(host, int(port))
                await self._request(*idle)
                while not busy[0].at_eof() and len(self.responses) < 100:
                    self.responses.append(await self._request(*busy))
                    close_connections(self._overload, Measured(self._clock.now_s(), 0.1, 0.03))
                    await anyio.sleep(TICK_S)
                self.other_open = not idle[0].at_eof()
                closed.set()
                busy[1].close()
                idle[1].close()

    async def _request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
        data = b'GET /x HTTP/1.1\r\nhost: a\r\n\r\n'
        self.sent_bytes += len(data)
        writer.write(data)
        return await reader.readuntil(b'{}')
