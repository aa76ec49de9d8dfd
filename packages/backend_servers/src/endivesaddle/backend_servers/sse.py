"""Split a stream of server-sent events into events, each as the bytes it came in.

The events are relayed as they are, so only their borders and their data lines
are looked at.  A library that turns them into text and back would cost more than
all else on the way of a token.
"""

from collections.abc import Iterator

DONE = b'[DONE]'
"""Data of the event that ends an answer."""
_DATA = b'data:'


class EventTooLong(Exception):
    """An event outgrew its bound."""


class EventSplitter:
    """Collect bytes and give out whole events; a partial one waits for its rest.

    Lines may end in LF or CRLF, an event ends with an empty line.
    """

    def __init__(self, most_bytes: int) -> None:
        """Bound the bytes that wait for the end of their event."""
        self._most_bytes = most_bytes
        self._waiting = b''

    @property
    def waiting(self) -> bytes:
        """Bytes of an event whose end has not come."""
        return self._waiting

    def split(self, data: bytes) -> Iterator[bytes]:
        """Yield the events that are whole now, each with its empty line."""
        waiting = self._waiting + data
        start = 0
        end = _event_end(waiting, start)
        while end:
            yield waiting[start:end]
            start = end
            end = _event_end(waiting, start)
        self._waiting = waiting[start:]
        if len(self._waiting) > self._most_bytes:
            raise EventTooLong(f'an event is longer than {self._most_bytes} bytes')


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
