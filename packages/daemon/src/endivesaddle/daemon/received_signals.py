"""Signals that this process receives, kept in order until its event loop reads them.

Imports the standard library alone, and is imported before anything else: until then a signal has
its default action, which ends the process.
"""

import functools
import signal
import socket

READ_BYTES = 4096

STOP = (signal.SIGTERM, signal.SIGINT)
WITHOUT_STOP = (signal.SIGHUP, signal.SIGUSR1)


class ReceivedSignals:
    """The signals that were received and not read yet; each is a byte in a socket.

    The interpreter writes the bytes from its own handler, so that no signal is lost between two
    readers, and none is handled in the middle of other code.
    """

    def __init__(self) -> None:
        """Initialize without taking any signal."""
        reader, writer = socket.socketpair()
        reader.setblocking(False)
        writer.setblocking(False)
        self.socket = reader
        self._writer = writer

    def take(self, numbers: tuple[signal.Signals, ...]) -> None:
        """Receive ``numbers`` from now on instead of their default action."""
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, _keep_running)

    def read(self) -> list[signal.Signals]:
        """Return what was received since the last call, oldest first."""
        try:
            return [signal.Signals(number) for number in self.socket.recv(READ_BYTES)]
        except BlockingIOError:
            return []

    def ignore(self) -> None:
        """Ignore all signals that were taken, up to the end of the process.

        The event loop is closed by now, and the interpreter restores the default action of all
        signals that have a handler while it ends.
        """
        for number in (*STOP, *WITHOUT_STOP):
            signal.signal(number, signal.SIG_IGN)


@functools.cache
def received() -> ReceivedSignals:
    """Return the signals of this process."""
    return ReceivedSignals()


def take_early() -> None:
    """Take the signals that must not end a process which is being started.

    SIGTERM and SIGINT still do: it has not promised anything yet.
    """
    received().take(WITHOUT_STOP)


def _keep_running(number: int, frame: object) -> None:
    """Do nothing; a signal with a handler has no default action."""
