"""Parse HTTP/1.1 responses with ``httptools``, also those that arrive behind the first."""

import re
from collections import deque

import httptools

from endivesaddle.backend_servers.held_bytes import ResponseTooLong
from endivesaddle.fleet.interfaces import ServerLost

MAX_HEADER_BYTES = 1 << 16
"""Maximum size of the response headers, interim responses included: ten times what engines send.

It also bounds what may arrive between two parts of a body and behind it: chunk extensions, trailers
and bytes that belong to no response."""
MAX_HEADERS = 256
"""Maximum number of headers: each takes a hundred bytes of memory more than its own."""
MIN_FINAL_STATUS = 200
"""A status below this belongs to an interim response."""
_KEEP_ALIVE = b'keep-alive'
_TIMEOUT = re.compile(rb'timeout=(\d{1,6})')
_SIZED = frozenset((b'content-length', b'transfer-encoding'))

MAX_RESPONSES = 4
"""Responses that are held for one request; more are not parsed."""


class ParsedResponse:
    """The received part of one response."""

    def __init__(self) -> None:
        """Initialize before the first byte."""
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.has_headers = False
        self.complete = False
        self.keeps_open = False
        # A list of parts would need forty bytes for each part of one byte.
        self.body = bytearray()

    @property
    def sized(self) -> bool:
        """Whether the response itself says where it ends."""
        return any(name.lower() in _SIZED for name, _ in self.headers)

    def take_body(self) -> bytes:
        """Return and remove the received part of the body."""
        data = bytes(self.body)
        self.body.clear()
        return data


class AnswerParser:
    """Parses what a server sends on a connection for one request.

    ``response`` is the response that is read.  A server may send another one before it: one that
    answers an earlier request.  ``skip`` passes over it.  The parser calls the ``on_`` methods.
    ``part_count`` is the number of headers and parts of bodies in what was parsed last.
    """

    def __init__(self, bodiless: bool) -> None:
        """Initialize before the first byte; ``bodiless`` if the request method is HEAD."""
        self.bodiless = bodiless
        self.skipped_count = 0
        self.part_count = 0
        self._last = ParsedResponse()
        self._responses = deque((self._last,))
        self._unusable = False
        self._idle_bytes = 0
        self._advanced = False
        self._parser = httptools.HttpResponseParser(self)

    @property
    def response(self) -> ParsedResponse:
        """The response that is read."""
        return self._responses[0]

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request: all data belonged to this one."""
        alone = len(self._responses) == 1 and not self.skipped_count and not self._unusable
        return alone and self.response.complete and self.response.keeps_open

    @property
    def buffered_bytes(self) -> int:
        """Bytes of bodies that were received and not taken yet."""
        return sum(len(response.body) for response in self._responses)

    @property
    def keep_alive_s(self) -> int:
        """Seconds for which the server keeps the connection, from Keep-Alive; 0 if not given."""
        headers = self.response.headers
        header = next((value for name, value in headers if name.lower() == _KEEP_ALIVE), b'')
        found = _TIMEOUT.search(header)
        return int(found.group(1)) if found else 0

    def feed(self, data: bytes | memoryview) -> ServerLost | None:
        """Parse received bytes; return the error after which nothing more can be read, if any.

        Whatever comes behind a complete response doesn't change it, and makes the connection
        unusable.
        """
        if self._unusable:
            return ServerLost('the data behind a response could not be parsed')
        self._advanced = False
        self.part_count = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._unusable = True
            return ServerLost(f'{type(error).__name__} {error}')
        too_long = self._exceeded(len(data))
        self._unusable = self._unusable or too_long is not None
        return too_long

    def skip(self) -> None:
        """Pass over the response that is read, which is complete; the next one is read then."""
        self.skipped_count += 1
        self._responses.popleft()
        if not self._responses:
            self._begin_response()

    def end(self) -> bool:
        """Handle the end of the connection; return whether the last response is complete."""
        self._unusable = True
        last = self._last
        last.complete = last.complete or (last.has_headers and not last.sized)
        return last.complete

    def on_message_begin(self) -> None:
        """Handle the start of a message."""
        if self._last.complete and len(self._responses) < MAX_RESPONSES:
            self._begin_response()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store one header; trailers after the body are ignored."""
        self.part_count += 1
        last = self._last
        if not last.has_headers and len(last.headers) <= MAX_HEADERS:
            last.headers.append((name, content))

    def on_headers_complete(self) -> None:
        """Handle the end of the headers; interim responses are dropped."""
        last = self._last
        if last.has_headers:
            return
        last.status = self._parser.get_status_code()
        if last.status < MIN_FINAL_STATUS:
            last.headers.clear()
            return
        last.has_headers = True
        last.complete = self.bodiless
        self._advanced = True

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self.part_count += 1
        if not self._last.complete:
            self._last.body += body
            self._advanced = True

    def on_message_complete(self) -> None:
        """Handle the end of the response."""
        last = self._last
        if last.has_headers and not last.complete:
            last.complete = True
            last.keeps_open = self._parser.should_keep_alive()

    def _exceeded(self, received_bytes: int) -> ResponseTooLong | None:
        """Return the error if a bound is exceeded after ``received_bytes`` more."""
        self._idle_bytes = 0 if self._advanced else self._idle_bytes + received_bytes
        last = self._last
        if self._idle_bytes > MAX_HEADER_BYTES:
            bound = 'bytes outside of a body' if last.has_headers else 'response headers'
            return ResponseTooLong(bound, self._idle_bytes, MAX_HEADER_BYTES)
        if len(last.headers) > MAX_HEADERS:
            return ResponseTooLong('number of headers', len(last.headers), MAX_HEADERS)
        return None

    def _begin_response(self) -> None:
        self._last = ParsedResponse()
        self._responses.append(self._last)
