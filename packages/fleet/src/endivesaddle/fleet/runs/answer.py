"""The answer of one run, kept as bytes so that any router can follow it by offset."""

import zlib

import anyio

from endivesaddle.wire import runs_pb2

BLOCK_BYTES = 16_384
"""Bytes that are compressed together; a late follower unpacks one block at a time."""
RUN_BYTES = 8192
"""Memory of a run besides its answer; see docs/design/runs.md."""
LEVEL = 1
"""Fastest compression: events of one answer are much alike and shrink tenfold anyway."""


class Room:
    """Bytes kept and set aside by all answers of a sidecar."""

    def __init__(self) -> None:
        """Start with nothing kept."""
        self.used_bytes = 0


class KeptAnswer:
    """Head, bytes and end of an answer, growing while the run goes on.

    Followers read at their own pace and hold up nothing: a slow one costs the
    bytes that are kept anyway.  Full blocks are kept compressed.  ``room_bytes``
    is what the answer takes or has set aside, ``packed_bytes`` what it takes.
    """

    def __init__(self, room: Room, set_aside_bytes: int) -> None:
        """Start empty, with a part of ``room`` set aside."""
        self.head: runs_pb2.Head | None = None
        self.end: runs_pb2.End | None = None
        self.dropped = False
        self.length_bytes = 0
        self.room_bytes = 0
        self._room = room
        self._blocks: list[bytes] = []
        self._blocks_bytes = 0
        self._tail = bytearray()
        self._changed: anyio.Event | None = None
        self.set_aside(set_aside_bytes)

    @property
    def packed_bytes(self) -> int:
        """Bytes of memory that the answer fills."""
        return self._blocks_bytes + len(self._tail)

    def set_aside(self, total_bytes: int) -> None:
        """Take a part of the room, in place of what was taken before."""
        self._room.used_bytes += total_bytes - self.room_bytes
        self.room_bytes = total_bytes

    def open(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Learn status and headers."""
        self.head = runs_pb2.Head(
            status=status,
            headers=[runs_pb2.Header(name=name, value=value) for name, value in headers],
        )
        self.wake()

    def append(self, data: bytes) -> None:
        """Add the next bytes."""
        self._tail += data
        self.length_bytes += len(data)
        if len(self._tail) >= BLOCK_BYTES:
            self._pack()
        self.wake()

    def finish(self, end: runs_pb2.End) -> None:
        """End the answer; what was set aside beyond its length is free again."""
        end.length_bytes = self.length_bytes
        self.end = end
        self.set_aside(self.packed_bytes + RUN_BYTES)
        self.wake()

    def drop(self) -> None:
        """Free the bytes; the end stays known, and the run takes its part of the room."""
        self.dropped = True
        self._blocks = []
        self._blocks_bytes = 0
        self._tail = bytearray()
        self.set_aside(RUN_BYTES)

    def release(self) -> None:
        """Give the room back: the run is replaced or past."""
        self.drop()
        self.set_aside(0)

    def read(self, offset_bytes: int, most_bytes: int) -> bytes:
        """Return up to ``most_bytes`` from an offset, perhaps fewer; none at the end."""
        number, start = divmod(offset_bytes, BLOCK_BYTES)
        if number < len(self._blocks):
            block = zlib.decompress(self._blocks[number])
            return block[start : start + most_bytes]
        start = offset_bytes - len(self._blocks) * BLOCK_BYTES
        return bytes(self._tail[start : start + most_bytes])

    async def wait_beyond(self, offset_bytes: int, head_seen: bool) -> None:
        """Wait for news after an offset, or until all followers are woken."""
        if self._has_news(offset_bytes, head_seen):
            return
        if self._changed is None:
            self._changed = anyio.Event()
        await self._changed.wait()

    def wake(self) -> None:
        """Wake the followers."""
        # An event is made only where a follower waits: most bytes have none.
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    def _pack(self) -> None:
        while len(self._tail) >= BLOCK_BYTES:
            block = zlib.compress(bytes(self._tail[:BLOCK_BYTES]), LEVEL)
            del self._tail[:BLOCK_BYTES]
            self._blocks.append(block)
            self._blocks_bytes += len(block)

    def _has_news(self, offset_bytes: int, head_seen: bool) -> bool:
        if self.end is not None or self.length_bytes > offset_bytes:
            return True
        return self.head is not None and not head_seen
