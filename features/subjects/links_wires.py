"""TCP connections in memory and virtual time, with the faults of real ones.

``install`` puts them in place of the event loop's sockets.  As on a real socket, a
gentle close waits until what was written has been sent, and a peer that does not
read makes the writer wait once the buffers are full.
"""

import asyncio
from collections import deque
from typing import Any

DELAY_S = 0.0005
BUFFER_BYTES = 256 * 1024


class End(asyncio.Transport):
    """One end of a connection; ``faulty`` swallows or holds what this end writes."""

    def __init__(self, loop: asyncio.AbstractEventLoop, protocol: Any) -> None:
        """Start whole, without the other end."""
        super().__init__({'peername': ('memory', 0)})
        self.loop = loop
        self.protocol = protocol
        self.other: End | None = None
        self.silent = False
        self.held = False
        self.paused = False
        self.sent_bytes = 0
        self.unsent: list[bytes] = []
        self.flying: deque[bytes] = deque()
        self.closing = False
        self.lost = False

    def write(self, data: Any) -> None:
        """Send to the other end, through the faults."""
        self.sent_bytes += len(data)
        if self.held:
            self.unsent.append(bytes(data))
            if sum(map(len, self.unsent)) > BUFFER_BYTES and not self.paused:
                self.paused = True
                self.protocol.pause_writing()
        elif not self.silent:
            # Timers of one moment fire in any order; what was written doesn't.
            self.flying.append(bytes(data))
            self.loop.call_later(DELAY_S, self._deliver)

    def close(self) -> None:
        """Close once all is sent, which is never while it is held or silent."""
        self.closing = True
        if not self.unsent:
            self._lose()

    def abort(self) -> None:
        """Close at once."""
        self.closing = True
        self._lose()

    def is_closing(self) -> bool:
        """Tell whether it was closed."""
        return self.closing

    def _deliver(self) -> None:
        data = self.flying.popleft()
        if self.other and not self.other.closing:
            self.other.protocol.data_received(data)

    def _lose(self) -> None:
        if not self.lost:
            self.lost = True
            self.loop.call_soon(self.protocol.connection_lost, None)
            if self.other and not self.silent:
                self.loop.call_later(DELAY_S, self.other.abort)


class Wires:
    """All listeners and connections of one event loop."""

    def __init__(self) -> None:
        """Start with none."""
        self.listeners: dict[tuple[str, int], Any] = {}
        self.pairs: list[tuple[End, End]] = []
        self.hanging = False
        self.mute = False
        self.ending = False

    def install(self) -> None:
        """Take the place of the running loop's sockets."""
        loop: Any = asyncio.get_running_loop()
        loop.create_connection = self.connect
        loop.create_server = self.listen

    async def listen(self, factory: Any, *_: Any, sock: Any, **_others: Any) -> Any:
        """Listen at a socket's address, without the socket."""
        address = sock.getsockname()[:2]
        self.listeners[address] = factory
        return Listener(self, sock)

    async def connect(self, factory: Any, host: str, port: int, **_: Any) -> Any:
        """Connect, or refuse, or hang."""
        loop = asyncio.get_running_loop()
        if self.hanging:
            await loop.create_future()
        await asyncio.sleep(DELAY_S)
        if (host, port) not in self.listeners:
            raise ConnectionRefusedError(f'{host}:{port}')
        near, far = (End(loop, make()) for make in (factory, self.listeners[host, port]))
        near.other = far
        far.other = near
        far.silent = self.mute
        self.pairs.append((near, far))
        far.protocol.connection_made(far)
        near.protocol.connection_made(near)
        if self.ending:
            near.abort()
        return near, near.protocol

    def silence(self, near: bool = True, far: bool = True) -> None:
        """Make the connections that are open now swallow what one or both ends write."""
        for near_end, far_end in self.pairs:
            near_end.silent |= near
            far_end.silent |= far

    def open_pairs(self) -> int:
        """Return how many connections are open at the near end."""
        return sum(not near.closing for near, _ in self.pairs)


class Listener:
    """What the loop would return for a listening socket."""

    def __init__(self, wires: Wires, sock: Any) -> None:
        """Listen at the address of a socket that is bound and never read."""
        self._wires = wires
        self._sock = sock

    def close(self) -> None:
        """Refuse connections."""
        self._wires.listeners.pop(self._sock.getsockname()[:2], None)
        self._sock.close()

    async def wait_closed(self) -> None:
        """Return at once."""
