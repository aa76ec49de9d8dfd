"""Split a stream of server-sent events into events without changing their bytes.

Events are relayed unchanged, so that only their boundaries and data lines are parsed.  A library
that decodes and encodes them would cost more than all other processing of a token.
"""

from collections.abc import Iterator

DONE = b'[DONE]'
"""Data of the event that ends a response."""
MAX_LINE_END = 3
"""Bytes in front of a part that may belong to the empty line that ends an event."""
_DATA = b'data:'


class EventTooLong(Exception):
    """An event exceeds the size limit."""


class EventSplitter:
    """Split received bytes into complete events; a partial event is kept for the next call.

    Lines may end in LF or CRLF.  An event ends with an empty line.
    """

    def __init__(self, max_event_bytes: int) -> None:
        """Initialize with a size limit for an incomplete event."""
        self._max_event_bytes = max_event_bytes
        self._waiting = bytearray()

    @property
    def waiting_bytes(self) -> int:
        """Size of the incomplete event at the end."""
        return len(self._waiting)

    def split(self, data: bytes) -> Iterator[bytes]:
        """Add bytes and yield the events that are now complete, each with its empty line."""
        text = self._joined(data)
        start = 0
        end = _event_end(text, start)
        while end:
            yield text[start:end]
            start = end
            end = _event_end(text, start)
        self._waiting += text[start:]
        if len(self._waiting) > self._max_event_bytes:
            raise EventTooLong(f'an event is longer than {self._max_event_bytes} bytes')

    def _joined(self, data: bytes) -> bytes:
        """Return the incomplete event with ``data``, or ``data`` alone if that doesn't end it.

        An event of many parts would otherwise be copied and searched again for each of them.
        """
        if not self._waiting or not _event_end(bytes(self._waiting[-MAX_LINE_END:]) + data, 0):
            return data
        text = bytes(self._waiting) + data
        self._waiting.clear()
        return text


def event_data(event: bytes) -> bytes:
    """Return the data of an event, its lines joined; empty for a comment."""
    lines = [line[len(_DATA) :].strip() for line in event.splitlines() if line.startswith(_DATA)]
    return b'\n'.join(lines)


def _event_end(text: bytes, start: int) -> int:
    """Return the index after the next empty line, or 0."""
    plain = text.find(b'\n\n', start)
    with_returns = text.find(b'\n\r\n', start)
    if plain < 0 and with_returns < 0:
        return 0
    if with_returns < 0 or 0 <= plain < with_returns:
        return plain + 2
    return with_returns + 3
