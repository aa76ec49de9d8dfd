"""Subject: a router that connects to servers slowly."""

import asyncio

import anyio

from endivesaddle.backend_servers.connection_pool import ConnectionPool
from endivesaddle.backend_servers.forward_client import ForwardClient
from endivesaddle.backend_servers.server_connection import ServerConnection
from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.routes.header_names import HeaderNames
from endivesaddle.fleet.routes.running import Runner
from subjects.forward_runs import ForwardRuns

ANSWER = (
    b'HTTP/1.1 200 OK\r\nendivesaddle-request-id: one\r\nendivesaddle-seal: x\r\n'
    b'content-length: 4\r\n\r\nbody'
)


class AnsweringTransport(asyncio.Transport):
    """A connection to a server that answers any request."""

    def __init__(self, sent: list[bytes], connection: ServerConnection) -> None:
        """Append received data to ``sent``."""
        super().__init__()
        self._sent = sent
        self._connection = connection

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Record the data and send a response."""
        self._sent.append(bytes(data))
        asyncio.get_running_loop().call_soon(self._connection.data_received, ANSWER)

    def is_closing(self) -> bool:
        """Stay open."""
        return False

    def abort(self) -> None:
        """Stay open."""


class SlowNetwork:
    """Opens connections in ``connect_s``, and records them and the data sent on them."""

    def __init__(self, connect_s: float) -> None:
        """Initialize with no connections."""
        self.sent: dict[str, list[bytes]] = {}
        self._connect_s = connect_s

    async def connect(self, address: str) -> ServerConnection:
        """Connect after the delay."""
        sent = self.sent.setdefault(address.rpartition(':')[0], [])
        await anyio.sleep(self._connect_s)
        connection = ServerConnection()
        connection.connection_made(AnsweringTransport(sent, connection))
        return connection


class SlowConnections:
    """A router with three servers, and one request."""

    def __init__(self, connect_s: float) -> None:
        """Initialize with a network that connects in ``connect_s``."""
        self.network = SlowNetwork(connect_s)
        self.runs = ForwardRuns('unsafe', 1, [])
        clock = LoopClock()
        links = ForwardClient(ConnectionPool(self.network.connect), HeaderNames(), clock)
        dispatcher = self.runs.runner.parts.dispatcher
        self.runs.runner = Runner(dispatcher, self.runs.pools, links, clock)
        self.left = ''

    def close(self) -> None:
        """End the loop."""
        self.runs.close()

    def request(self, leaves_after_s: float) -> None:
        """Run a request whose server announces that it leaves after a while."""
        self.runs.play(self._leave(leaves_after_s))

    async def _leave(self, seconds: float) -> None:
        carried = asyncio.ensure_future(self.runs.carry())
        await anyio.sleep(seconds)
        self.left = next(iter(self.network.sent))
        self.runs.leave_server(self.left)
        await carried
