"""Parse one HTTP/1.1 response with ``httptools``."""

import re

import httptools

MAX_HEADER_BYTES = 1 << 16
"""Maximum size of the response headers: ten times what engines send."""
MIN_FINAL_STATUS = 200
"""A status below this belongs to an interim response."""
_KEEP_ALIVE = b'keep-alive'
_TIMEOUT = re.compile(rb'timeout=(\d{1,6})')
_SIZED = frozenset((b'content-length', b'transfer-encoding'))


class AnswerParser:
    """The received part of one response.

    ``complete`` is True when all of it has been received, ``reusable`` if the connection may then
    carry another request.  The parser calls the ``on_`` methods.
    """

    def __init__(self, bodiless: bool) -> None:
        """Initialize before the first byte; ``bodiless`` if the request method is HEAD."""
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.has_headers = False
        self.complete = False
        self.buffered_bytes = 0
        self._bodiless = bodiless
        self._extra_data = False
        self._keeps_open = False
        self._header_bytes = 0
        self._body_parts: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return self.complete and self._keeps_open and not self._extra_data

    @property
    def keep_alive_s(self) -> int:
        """Seconds for which the server keeps the connection, from Keep-Alive; 0 if not given."""
        header = next((value for name, value in self.headers if name.lower() == _KEEP_ALIVE), b'')
        found = _TIMEOUT.search(header)
        return int(found.group(1)) if found else 0

    def feed(self, data: bytes) -> str:
        """Parse received bytes; return an error text, '' if there is no error.

        Extra bytes after a complete response make the connection unusable, not the response.
        """
        if not self.has_headers:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._extra_data = True
            return '' if self.complete else f'{type(error).__name__} {error}'
        too_long = not self.has_headers and self._header_bytes > MAX_HEADER_BYTES
        return 'the response headers are too long' if too_long else ''

    def end(self) -> bool:
        """Handle the end of the connection; return whether the response is complete."""
        sized = any(name.lower() in _SIZED for name, _ in self.headers)
        self._keeps_open = False
        self.complete = self.complete or (self.has_headers and not sized)
        return self.complete

    def take_body(self) -> bytes:
        """Return and remove the received part of the body."""
        data = b''.join(self._body_parts)
        self._body_parts.clear()
        self.buffered_bytes = 0
        return data

    def on_message_begin(self) -> None:
        """Handle the start of a message; a second one makes the connection unusable."""
        self._extra_data = self._extra_data or self.complete

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store one header; trailers after the body are ignored."""
        if not self.has_headers:
            self.headers.append((name, content))

    def on_headers_complete(self) -> None:
        """Handle the end of the headers; interim responses are dropped."""
        if self.has_headers:
            return
        self.status = self._parser.get_status_code()
        if self.status < MIN_FINAL_STATUS:
            self.headers.clear()
            return
        self.has_headers = True
        self.complete = self._bodiless

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if not self.complete:
            self._body_parts.append(body)
            self.buffered_bytes += len(body)

    def on_message_complete(self) -> None:
        """Handle the end of the response."""
        if self.has_headers and not self.complete:
            self.complete = True
            self._keeps_open = self._parser.should_keep_alive()
