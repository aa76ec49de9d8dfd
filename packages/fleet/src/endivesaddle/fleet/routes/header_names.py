"""The header names of forwarded requests, which an adapter can replace by its platform's."""

from typing import NamedTuple

HOP_BY_HOP = frozenset(
    (
        'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization',
        'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
    )
)  # fmt: skip
"""Headers that apply to one connection only."""
LENGTH = 'content-length'
GENERAL = frozenset(
    (
        'accept-ranges', 'age', 'allow', 'cache-control', 'content-disposition',
        'content-encoding', 'content-language', 'content-location', 'content-type', 'date', 'etag',
        'expires', 'last-modified', 'link', 'location', 'pragma', 'server', 'vary', 'via',
    )
)  # fmt: skip
"""Response headers defined by HTTP that concern only server and caller."""


class HeaderNames(NamedTuple):
    """The header names that a platform uses, in lower case.

    Only the router sets ``reserved`` headers: those that a caller sends are
    dropped.  By ``seal`` a server confirms that it ran the request and that
    the response is its own, by ``declined`` that it did not run the request; a response with both
    proves neither.  ``lifetime`` names the
    incarnation of the server that may run it, ``answering`` in a response that of the server that
    answers.  By ``leaving`` (with "1") a server
    announces that this incarnation accepts no more requests, by ``limit`` the
    requests a second that it accepts from all routers together.  ``fetch`` names the
    address of the engine that has shared parts of the prompt cached.  By ``resumes`` a caller
    that takes up a stream names the request that brought its first event.  ``passed`` are
    response headers that are relayed to callers and have no effect on routing.
    """

    request_id: str = 'endivesaddle-request-id'
    deadline_ms: str = 'endivesaddle-deadline-ms'
    tokens: str = 'endivesaddle-tokens'
    parts: str = 'endivesaddle-prompt-parts'
    seal: str = 'endivesaddle-seal'
    account: str = 'endivesaddle-account'
    lifetime: str = 'endivesaddle-lifetime'
    answering: str = 'endivesaddle-answering'
    declined: str = 'endivesaddle-not-run'
    leaving: str = 'endivesaddle-leaving'
    limit: str = 'endivesaddle-limit'
    fetch: str = 'endivesaddle-fetch'
    priority: str = 'endivesaddle-priority'
    last_event: str = 'last-event-id'
    resumes: str = 'endivesaddle-resumes'
    retry_after: str = 'retry-after'
    passed: frozenset[str] = frozenset()
    reserved: frozenset[str] = frozenset(
        (
            'authorization',
            'endivesaddle-account',
            'endivesaddle-deadline-ms',
            'endivesaddle-fetch',
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
        """The header of each signal by which servers describe themselves, by the signal's name."""
        return {'leaving': self.leaving, 'limit': self.limit, 'retry_after': self.retry_after}

    @property
    def read_from_responses(self) -> tuple[str, ...]:
        """The response headers that the router reads."""
        return (
            self.request_id,
            self.seal,
            self.declined,
            self.answering,
            *self.signals.values(),
        )
