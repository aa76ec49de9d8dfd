"""Collect what ``httptools`` finds in the bytes of one HTTP/1.1 answer."""

import re

import httptools

HEAD_BYTES = 1 << 16
"""The longest head of an answer: ten times what engines send."""
INTERIM = 200
"""A status below this comes before the answer."""
_KEPT = b'keep-alive'
_TIMEOUT = re.compile(rb'timeout=(\d{1,6})')
_SIZED = frozenset((b'content-length', b'transfer-encoding'))


class AnswerParser:
    """One answer so far.

    ``complete`` once all of it came; ``reusable`` if the connection then carries another request.
    The parser calls the ``on_`` methods.
    """

    def __init__(self, bodiless: bool) -> None:
        """Start before the first byte; ``bodiless`` where the request was HEAD."""
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.has_head = False
        self.complete = False
        self.held_bytes = 0
        self._bodiless = bodiless
        self._stray = False
        self._keeps_open = False
        self._head_bytes = 0
        self._held: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)

    @property
    def reusable(self) -> bool:
        """Tell whether the connection may carry another request."""
        return self.complete and self._keeps_open and not self._stray

    @property
    def kept_s(self) -> int:
        """Whole seconds for which the server says that it keeps the connection; 0 if it doesn't."""
        said = next((value for name, value in self.headers if name.lower() == _KEPT), b'')
        found = _TIMEOUT.search(said)
        return int(found.group(1)) if found else 0

    def feed(self, data: bytes) -> str:
        """Take bytes; return what is wrong with them, '' if nothing.

        Bytes behind a whole answer spoil the connection but not the answer.
        """
        if not self.has_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._stray = True
            return '' if self.complete else f'{type(error).__name__} {error}'
        too_long = not self.has_head and self._head_bytes > HEAD_BYTES
        return 'the head of the answer is too long' if too_long else ''

    def end(self) -> bool:
        """Take the end of the connection; return whether it left a whole answer."""
        sized = any(name.lower() in _SIZED for name, _ in self.headers)
        self._keeps_open = False
        self.complete = self.complete or (self.has_head and not sized)
        return self.complete

    def taken(self) -> bytes:
        """Return the part of the body that was not taken yet."""
        data = b''.join(self._held)
        self._held.clear()
        self.held_bytes = 0
        return data

    def on_message_begin(self) -> None:
        """Note a second answer, which belongs to another request."""
        self._stray = self._stray or self.complete

    def on_header(self, name: bytes, content: bytes) -> None:
        """Take one header; those behind the body tell nothing here."""
        if not self.has_head:
            self.headers.append((name, content))

    def on_headers_complete(self) -> None:
        """Take the head."""
        if self.has_head:
            return
        self.status = self._parser.get_status_code()
        if self.status < INTERIM:
            self.headers.clear()
            return
        self.has_head = True
        self.complete = self._bodiless

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if not self.complete:
            self._held.append(body)
            self.held_bytes += len(body)

    def on_message_complete(self) -> None:
        """Take the end of the body."""
        if self.has_head and not self.complete:
            self.complete = True
            self._keeps_open = self._parser.should_keep_alive()
