"""The header names of forwarded requests, so that an adapter can use its platform's."""

from typing import NamedTuple

HOP_BY_HOP = frozenset(
    (
        'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization',
        'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
    )
)  # fmt: skip
"""Headers that speak of one connection alone."""
LENGTH = 'content-length'
GENERAL = frozenset(
    (
        'accept-ranges', 'age', 'allow', 'cache-control', 'content-disposition',
        'content-encoding', 'content-language', 'content-location', 'content-type', 'date', 'etag',
        'expires', 'last-modified', 'link', 'location', 'pragma', 'server', 'vary', 'via',
    )
)  # fmt: skip
"""Headers of answers that HTTP itself defines, and that are between server and caller."""


class HeaderNames(NamedTuple):
    """The header names that a platform uses, in lower case.

    ``reserved`` are set by the router alone: what a caller sends under these
    names is dropped.  ``seal`` is the server's word that an answer is its own,
    ``declined`` its word that it did not run a request, ``lifetime`` names the
    life of a server that may run it, ``leaving`` (with "1") is a server's word
    that it takes no more requests in this life, ``limit`` the requests a second
    that it takes from all routers.  ``passed`` are headers of answers that
    callers read and that decide nothing here.
    """

    request_id: str = 'endivesaddle-request-id'
    deadline_ms: str = 'endivesaddle-deadline-ms'
    tokens: str = 'endivesaddle-tokens'
    parts: str = 'endivesaddle-prompt-parts'
    seal: str = 'endivesaddle-seal'
    account: str = 'endivesaddle-account'
    lifetime: str = 'endivesaddle-lifetime'
    declined: str = 'endivesaddle-not-run'
    leaving: str = 'endivesaddle-leaving'
    limit: str = 'endivesaddle-limit'
    priority: str = 'endivesaddle-priority'
    last_event: str = 'last-event-id'
    retry_after: str = 'retry-after'
    passed: frozenset[str] = frozenset()
    reserved: frozenset[str] = frozenset(
        (
            'authorization',
            'endivesaddle-account',
            'endivesaddle-deadline-ms',
            'endivesaddle-leaving',
            'endivesaddle-lifetime',
            'endivesaddle-limit',
            'endivesaddle-not-run',
            'endivesaddle-priority',
            'endivesaddle-seal',
        )
    )

    @property
    def signals(self) -> dict[str, str]:
        """The header of each signal that servers give of themselves, by the signal's name."""
        return {'leaving': self.leaving, 'limit': self.limit, 'retry_after': self.retry_after}

    @property
    def read_from_responses(self) -> tuple[str, ...]:
        """The headers of servers' answers that are read."""
        return (self.request_id, self.seal, self.declined, *self.signals.values())
