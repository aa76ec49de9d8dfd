"""Write log lines to a pipe without ever waiting for its reader, and within bounds.

Failure: the reader of the pipe stalls, the pipe is full, and the next line holds
up every request of the process.  A line that finds no room is left out and
counted; the count goes out with the next line that does.
"""

import os
from collections import Counter
from typing import Any

import msgspec

from endivesaddle.daemon import events
from endivesaddle.fleet.clock import Clock

LINES_PER_S = 400
"""Lines of one event in a second: ten times what a busy router writes of its commonest."""
HELD_BYTES = 1 << 18
"""Lines that wait for room in the pipe; a reader that stalls costs no more memory."""
ALWAYS = frozenset(('WARNING', 'ERROR', 'CRITICAL'))
"""Levels that only the pipe's room bounds: failures go before successes."""


class BoundedLog:
    """One process's lines on one file descriptor."""

    def __init__(self, descriptor: int, clock: Clock) -> None:
        """Write to ``descriptor``, which is set not to block."""
        os.set_blocking(descriptor, False)
        self.left_out: Counter[str] = Counter()
        self._descriptor = descriptor
        self._clock = clock
        self._second = 0
        self._lines: Counter[str] = Counter()
        self._held = bytearray()

    @property
    def held_bytes(self) -> int:
        """Bytes that wait for room in the pipe."""
        return len(self._held)

    def write(self, name: str, level: str, line: dict[str, Any]) -> None:
        """Write one line, or leave it out and count it."""
        second = int(self._clock.now_s())
        if second != self._second:
            self._second = second
            self._lines.clear()
            self._tell_left_out()
        self._lines[name] += 1
        bounded = level not in ALWAYS and self._lines[name] > LINES_PER_S
        if bounded or len(self._held) > HELD_BYTES:
            self.left_out[name] += 1
        else:
            self._put(line)
        self.flush()

    def flush(self) -> None:
        """Hand on what the pipe has room for."""
        while self._held:
            try:
                written = os.write(self._descriptor, self._held)
            except BlockingIOError:
                # The reader is slow: what is held waits for the next line.
                return
            del self._held[:written]

    def _tell_left_out(self) -> None:
        if not self.left_out or len(self._held) > HELD_BYTES:
            return
        kind = events.LEFT_OUT
        self._put({'event': kind.number, 'name': kind.name, 'lines': dict(self.left_out)})
        self.left_out.clear()

    def _put(self, line: dict[str, Any]) -> None:
        self._held.extend(msgspec.json.encode(line, enc_hook=str))
        self._held.extend(b'\n')
