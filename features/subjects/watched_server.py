"""A stand-in for a backend server in its own thread, which records when requests come and go.

It does not share the router's event loop, so that a busy router does not delay what it records.
"""

import selectors
import socket
import threading
import time
from collections.abc import Callable
from types import MappingProxyType

POLL_S = 0.005
CHUNK_BYTES = 1 << 16
SMALL_BUFFER_BYTES = 4096
HEAD_END = b'\r\n\r\n'
ID = b'endivesaddle-request-id: '
LENGTH = b'content-length: '
EVENTS = b'11\r\nid: 0\ndata: one\n\n\r\n11\r\nid: 1\ndata: two\n\n\r\n'
FLOOD = b'1000\r\ndata: %s\n\n\r\n' % (b'x' * (4096 - 8))


class Arrival:
    """One request that reached the server; times are of the steady clock."""

    def __init__(self, request_id: str, connection: socket.socket) -> None:
        """Arrive now."""
        self.request_id = request_id
        self.arrived_s = time.monotonic()
        self.closed_s = 0.0
        self.flooding = False
        self.unsent = b''
        self.connection = connection


def hold(arrival: Arrival) -> None:
    """Send nothing."""


def answer(arrival: Arrival) -> None:
    """Send a complete response."""
    _send(arrival, b'%s2\r\n\r\nok' % LENGTH)


def decline(arrival: Arrival) -> None:
    """Decline the request as not run."""
    head = b'HTTP/1.1 503 Busy\r\n%s%s\r\nendivesaddle-not-run: 1\r\n%s0\r\n\r\n'
    arrival.connection.sendall(head % (ID, arrival.request_id.encode(), LENGTH))


def drop(arrival: Arrival) -> None:
    """Close the connection without a response."""
    arrival.connection.shutdown(socket.SHUT_RDWR)


def stream(arrival: Arrival) -> None:
    """Send two events of a stream."""
    _send(arrival, b'transfer-encoding: chunked\r\n\r\n%s' % EVENTS)


def break_off(arrival: Arrival) -> None:
    """Send two events of a stream and close the connection."""
    stream(arrival)
    drop(arrival)


def flood(arrival: Arrival) -> None:
    """Send a stream without an end."""
    stream(arrival)
    arrival.flooding = True


BEHAVIOURS: MappingProxyType[str, Callable[[Arrival], None]] = MappingProxyType(
    {one.__name__: one for one in (hold, answer, decline, drop, stream, break_off, flood)}
)


class WatchedServer(threading.Thread):
    """Serves connections until ``stop``."""

    def __init__(self, script: list[str], *, reading: bool = True) -> None:
        """Behave as ``script`` says, in the order of requests; the last behaviour is repeated.

        Unless ``reading``, bytes stay in the sockets until ``read``.
        """
        super().__init__(daemon=True)
        self.arrivals: list[Arrival] = []
        self._script = script
        self._reading = threading.Event()
        if reading:
            self._reading.set()
        self._stopped = threading.Event()
        self._buffers: dict[socket.socket, bytes] = {}
        self._selector = selectors.DefaultSelector()
        self._listener = socket.socket()
        if not reading:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        # Each loopback address is an address of the server.
        self._listener.bind(('', 0))
        self._listener.listen()
        self._listener.setblocking(False)
        self._selector.register(self._listener, selectors.EVENT_READ)
        self.port = self._listener.getsockname()[1]

    @property
    def connected_count(self) -> int:
        """The number of connections so far."""
        return len(self._buffers)

    def read(self) -> None:
        """Read what has arrived, from now on."""
        self._reading.set()

    def stop(self) -> None:
        """End the thread and close all connections."""
        self._stopped.set()
        self.join()
        for connection in (self._listener, *self._buffers):
            connection.close()
        self._selector.close()

    def run(self) -> None:
        """Serve until stopped."""
        while not self._stopped.is_set():
            for key, _ in self._selector.select(POLL_S):
                self._ready(key.fileobj)
            for arrival in self.arrivals:
                self._continue(arrival)

    def _ready(self, ready: object) -> None:
        assert isinstance(ready, socket.socket)
        if ready is self._listener:
            connection, _ = self._listener.accept()
            self._buffers[connection] = b''
            self._selector.register(connection, selectors.EVENT_READ)
        elif self._reading.is_set():
            self._receive(ready)
        else:
            self._stopped.wait(POLL_S)

    def _receive(self, connection: socket.socket) -> None:
        try:
            received = connection.recv(CHUNK_BYTES)
        except OSError:
            received = b''
        if not received:
            self._selector.unregister(connection)
            self._close(connection)
            return
        self._buffers[connection] += received
        while _complete(self._buffers[connection]):
            self._arrive(connection)

    def _arrive(self, connection: socket.socket) -> None:
        head, _, rest = self._buffers[connection].partition(HEAD_END)
        self._buffers[connection] = rest[_length(head) :]
        arrival = Arrival(_header(head, ID).decode(), connection)
        behaviour = self._script[min(len(self.arrivals), len(self._script) - 1)]
        self.arrivals.append(arrival)
        BEHAVIOURS[behaviour](arrival)

    def _close(self, connection: socket.socket) -> None:
        for arrival in self.arrivals:
            if arrival.connection is connection:
                arrival.closed_s = arrival.closed_s or time.monotonic()
                arrival.flooding = False

    def _continue(self, arrival: Arrival) -> None:
        if not arrival.flooding:
            return
        arrival.unsent = arrival.unsent or FLOOD
        try:
            sent_bytes = arrival.connection.send(arrival.unsent, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            self._close(arrival.connection)
        else:
            arrival.unsent = arrival.unsent[sent_bytes:]


def _send(arrival: Arrival, rest: bytes) -> None:
    head = b'HTTP/1.1 200 OK\r\n%s%s\r\nendivesaddle-seal: x\r\n'
    arrival.connection.sendall(head % (ID, arrival.request_id.encode()) + rest)


def _header(head: bytes, name: bytes) -> bytes:
    lines = [line for line in head.split(b'\r\n') if line.lower().startswith(name)]
    return lines[0][len(name) :] if lines else b''


def _length(head: bytes) -> int:
    return int(_header(head, LENGTH) or 0)


def _complete(data: bytes) -> bool:
    head, end, rest = data.partition(HEAD_END)
    return bool(end) and len(rest) >= _length(head)
