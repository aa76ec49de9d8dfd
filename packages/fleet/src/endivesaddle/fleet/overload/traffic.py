"""Count the bytes of callers' and servers' connections, and the requests of each caller's.

Only payload passes here; each read and write counts as one packet more, so that a stream of small
events is not taken for a fraction of what it takes of the link.
"""

from collections import deque
from typing import NamedTuple, Protocol

PACKET_BYTES = 52
"""IPv4 and TCP headers with time stamps."""
WINDOW_S = 0.5
"""Rates are over this; a quarter of a caller's second would follow single responses."""


class Writing(Protocol):
    """A transport whose unsent bytes are sampled."""

    def get_write_buffer_size(self) -> int:
        """Return the bytes that are not yet sent."""


class CallerConnection:
    """The load of one connection of a caller; ``closing`` if its next response ends it."""

    __slots__ = ('closing', 'recent', 'requests')

    def __init__(self) -> None:
        """Initialize without requests."""
        self.requests = 0
        self.recent = 0.0
        self.closing = False


class Rates(NamedTuple):
    """Bytes per second over the window."""

    sent_per_s: float
    received_per_s: float


class _Sample(NamedTuple):
    """The counters at one time."""

    at_unix_s: float
    sent_bytes: int
    received_bytes: int


class Traffic:
    """The bytes that a router has sent and received so far, and its open connections."""

    def __init__(self) -> None:
        """Initialize without connections."""
        self.sent_bytes = 0
        self.received_bytes = 0
        self.callers: set[CallerConnection] = set()
        self.writing: set[Writing] = set()
        self._samples: deque[_Sample] = deque()

    def buffered_bytes(self) -> int:
        """Return the bytes that wait in the buffers of all connections."""
        return sum(one.get_write_buffer_size() for one in self.writing)

    def sample(self, now_unix_s: float) -> Rates:
        """Return the rates over the last half second; called about ten times a second."""
        samples = self._samples
        samples.append(_Sample(now_unix_s, self.sent_bytes, self.received_bytes))
        while len(samples) > 2 and samples[1].at_unix_s <= now_unix_s - WINDOW_S:
            samples.popleft()
        first = samples[0]
        # A window that has just begun is divided by its whole length: one response of the first
        # tenth of a second would otherwise look like a saturated link.
        passed_s = max(WINDOW_S, now_unix_s - first.at_unix_s)
        sent = (self.sent_bytes - first.sent_bytes) / passed_s
        return Rates(sent, (self.received_bytes - first.received_bytes) / passed_s)
