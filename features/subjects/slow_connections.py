"""Subject: a router whose connections to servers take their time."""

import asyncio
from collections.abc import Iterable
from typing import Any

import anyio
import httpcore

from endivesaddle.backend_servers.forward_calls import ForwardLinks
from endivesaddle.backend_servers.kept_links import KeptLinks
from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.routes.dialect import Dialect
from subjects.forward_runs import ForwardRuns

ANSWER = (
    b'HTTP/1.1 200 OK\r\nendivesaddle-request-id: one\r\nendivesaddle-seal: x\r\n'
    b'content-length: 4\r\n\r\nbody'
)


class AnsweringStream(httpcore.AsyncNetworkStream):
    """A connection to a server that answers whatever it is sent."""

    def __init__(self, sent: list[bytes]) -> None:
        """Keep what arrives in ``sent``."""
        self._sent = sent

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the answer."""
        return ANSWER

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Take what is sent."""
        self._sent.append(buffer)

    async def aclose(self) -> None:
        """Close it."""

    def get_extra_info(self, info: str) -> Any:
        """Know nothing."""


class SlowNetwork(httpcore.AsyncNetworkBackend):
    """Makes connections in ``connect_s``; keeps which, and what was sent on them."""

    def __init__(self, connect_s: float) -> None:
        """Start without any."""
        self.sent: dict[str, list[bytes]] = {}
        self._connect_s = connect_s

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect, after a while."""
        sent = self.sent.setdefault(host, [])
        await anyio.sleep(self._connect_s)
        return AnsweringStream(sent)


class SlowConnections:
    """A router with three servers, and one request."""

    def __init__(self, connect_s: float) -> None:
        """Connect in ``connect_s``."""
        self.network = SlowNetwork(connect_s)
        self.runs = ForwardRuns('unsafe', 1, [])
        self.runs.runner.links = ForwardLinks(KeptLinks(self.network), Dialect(), LoopClock())
        self.left = ''

    def close(self) -> None:
        """End the loop."""
        self.runs.close()

    def request(self, leaves_after_s: float) -> None:
        """Carry a request whose server leaves after a while."""
        self.runs.play(self._leave(leaves_after_s))

    async def _leave(self, seconds: float) -> None:
        carried = asyncio.ensure_future(self.runs.carry())
        await anyio.sleep(seconds)
        self.left = next(iter(self.network.sent))
        self.runs.leave_server(self.left)
        await carried
