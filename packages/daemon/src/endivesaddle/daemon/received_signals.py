"""Signals that this process receives, kept in order until its event loop reads them.

Imports the standard library alone, and is imported before anything else: until then a signal has
its default action, which ends the process.
"""

import functools
import signal
import socket
from contextlib import suppress

READ_BYTES = 4096

STOP = (signal.SIGTERM, signal.SIGINT)
WITHOUT_STOP = (signal.SIGHUP, signal.SIGUSR1)


class ReceivedSignals:
    """The signals that were received and not read yet, each once.

    ``socket`` becomes readable with each signal: the interpreter writes to it from its own
    handler.  It may be full of signals that come in quick succession; none is lost then.
    """

    def __init__(self) -> None:
        """Initialize without taking any signal."""
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        writer.setblocking(False)
        self.socket = reader
        self._writer = writer
        self._pending: dict[signal.Signals, None] = {}

    def take(self, numbers: tuple[signal.Signals, ...]) -> None:
        """Receive ``numbers`` from now on instead of their default action."""
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, self._note)

    def read(self) -> list[signal.Signals]:
        """Return what was received since the last call, oldest first."""
        with suppress(BlockingIOError):
            self.socket.recv(READ_BYTES)
        # A signal that comes between these lines is added to one of the two.
        taken = self._pending
        self._pending = {}
        return list(taken)

    def ignore(self) -> None:
        """Ignore all signals that were taken, up to the end of the process.

        The event loop is closed by now, and the interpreter restores the default action of all
        signals that have a handler while it ends.
        """
        for number in (*STOP, *WITHOUT_STOP):
            signal.signal(number, signal.SIG_IGN)

    def _note(self, number: int, frame: object) -> None:
        self._pending[signal.Signals(number)] = None


@functools.cache
def received() -> ReceivedSignals:
    """Return the signals of this process."""
    return ReceivedSignals()


def take_early() -> None:
    """Take the signals that must not end a process which is being started.

    SIGTERM and SIGINT still do: it has not promised anything yet.
    """
    received().take(WITHOUT_STOP)
