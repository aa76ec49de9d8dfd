"""Subject: log lines on a pipe of the test's own."""

import os
import time
from typing import Any

import msgspec

from endivesaddle.daemon.bounded_log import BoundedLog

PIPE_BYTES = 1 << 20


class FixedClock:
    """A clock that a test moves."""

    def __init__(self) -> None:
        """Start at a whole second."""
        self.unix_s = 1000.0

    def now_s(self) -> float:
        """Return the time set."""
        return self.unix_s


class LogPipe:
    """A log and the reader's end of its pipe."""

    def __init__(self) -> None:
        """Open the pipe."""
        reader, writer = os.pipe()
        self._reader = reader
        self._writer = writer
        self.clock = FixedClock()
        self.log = BoundedLog(self._writer, self.clock)
        self.took_s = 0.0

    def close(self) -> None:
        """Close both ends."""
        os.close(self._reader)
        os.close(self._writer)

    def write(self, count: int, name: str, level: str, a_second: int = 0) -> None:
        """Write lines; ``a_second`` of them before the clock moves on, 0 for all."""
        began_s = time.monotonic()
        for number in range(count):
            if a_second and number % a_second == 0:
                self.clock.unix_s += 1
            self.log.write(name, level, {'name': name, 'level': level, 'number': number})
        self.took_s = time.monotonic() - began_s

    def read(self) -> list[dict[str, Any]]:
        """Read what is there, until the log has nothing more to hand on."""
        text = b''
        os.set_blocking(self._reader, False)
        while True:
            self.log.flush()
            try:
                text += os.read(self._reader, PIPE_BYTES)
            except BlockingIOError:
                return [msgspec.json.decode(line) for line in text.splitlines()]
