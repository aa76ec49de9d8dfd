"""Forwarded requests, and the ports through which they reach servers and callers."""

import hashlib
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

from endivesaddle.fleet.routes.declared import Route, RouteAccount, RouteServer
from endivesaddle.fleet.routing.backends import ForwardRoutingRequest
from endivesaddle.fleet.routing.crash_blame import MAX_NAME, PART_PREFIX
from endivesaddle.fleet.routing.stream_origins import StreamOrigin, stream_key
from endivesaddle.fleet.sentinels import Refusal

DIGEST_BYTES = 16
MAX_END_PARTS = 16
"""Shared parts at the begin and at the end of a prompt that may be to blame for crashes."""
LOWEST_PRIORITY = 9
"""The lowest priority (greatest number) that servers accept."""

Pairs = tuple[tuple[str, str], ...]


class ForwardRequest(NamedTuple):
    """One validated request on a route.

    ``end_unix_s`` is the caller's deadline or the end of the route's time-out,
    whichever comes first.  ``cost_tokens`` is its worst case.  ``last_event`` is the number of the
    last event that the caller has of the stream that it takes up, -1 for none, and ``resumes`` the
    id of the request that brought that stream's first event.  ``origin`` is where its stream began;
    no other service or version may continue it.
    """

    request_id: str
    route: Route
    account: RouteAccount | None
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_unix_s: float
    end_unix_s: float
    prompt_tokens: int
    max_tokens: int
    parts: tuple[tuple[str, int], ...]
    last_event: int
    began_unix_s: float
    resumes: str = ''
    origin: StreamOrigin | None = None

    @property
    def cost_tokens(self) -> int:
        """The most tokens that it can spend."""
        return self.prompt_tokens + self.max_tokens

    @property
    def urgency(self) -> int:
        """Its priority, the account's before the route's; 0 is the most urgent."""
        account = self.account
        priority = self.route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return max(0, min(LOWEST_PRIORITY, priority))

    @property
    def homes(self) -> frozenset[str] | None:
        """The regions that may serve it, None for all: those that route and account both allow."""
        allowed = [self.route.homes, self.account.homes if self.account else frozenset()]
        named = [homes for homes in allowed if homes]
        return frozenset.intersection(*named) if named else None

    @property
    def service(self) -> str:
        """The service that serves it: the one that began its stream, else one of its route's."""
        return self.origin.service if self.origin else self.route.service_of(self.request_id)

    @property
    def takes_up(self) -> bool:
        """Whether its caller takes up a stream that an earlier request began."""
        return self.route.streamed and (self.last_event >= 0 or bool(self.resumes))

    @property
    def stream_key(self) -> bytes:
        """The key of its stream, the same for all requests that take the stream up."""
        account = self.account.name if self.account else ''
        return stream_key(account, self.resumes or self.request_id)

    def digest(self) -> str:
        """Return a digest that is the same for all attempts of a caller at this request.

        Attempts have the same account, host, method, target and body, but different ids.  The
        hash is cryptographic, so that nobody can craft a request with the digest of another's.
        """
        account = self.account.name if self.account else ''
        state = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in (account, self.route.host, self.method, self.target):
            state.update(f'{len(part)}:{part}'.encode())
        state.update(self.body)
        return state.hexdigest()

    def shared_parts(self) -> tuple[str, ...]:
        """Return the parts of its prompt that other requests may share: all but the last one."""
        return tuple(dict.fromkeys(part for part, _ in self.parts[:-1]))

    def crash_subjects(self) -> tuple[str, ...]:
        """Return what may be to blame if servers crash under it: itself, and its shared parts."""
        return (self.digest(), *self.part_subjects())

    def part_subjects(self) -> tuple[str, ...]:
        """Return the names of its shared parts in the records of crashes."""
        parts = self.shared_parts()
        if len(parts) > 2 * MAX_END_PARTS:
            parts = parts[:MAX_END_PARTS] + parts[-MAX_END_PARTS:]
        return tuple(part_subject(self.service, part) for part in parts)

    def routing_request(self, service: str) -> ForwardRoutingRequest:
        """Return what it requires of a server of ``service``."""
        return ForwardRoutingRequest(
            self.request_id,
            service,
            self.parts,
            self.prompt_tokens,
            self.max_tokens,
            self.urgency,
        )


def part_subject(service: str, part: str) -> str:
    """Return the name of a part of prompts in the records of crashes."""
    name = f'{PART_PREFIX}{service}:{part}'
    if len(name) <= MAX_NAME and name.isascii() and name.isprintable():
        return name
    return PART_PREFIX + hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).hexdigest()


class ServerCall(NamedTuple):
    """One attempt of a request at one server.

    ``last_event`` is the number of the last event that the caller has, -1 for none;
    ``may_send`` is called right before the request is sent, and counts it as sent.  It returns
    False if the server does not accept requests any more, and raises ``CallerLeft`` if the caller
    has left.
    ``source`` is the server from which it can fetch shared parts of the prompt, if any.
    """

    request: ForwardRequest
    server: RouteServer
    end_unix_s: float
    last_event: int
    may_send: Callable[[], bool]
    source: RouteServer | None = None


class ForeignResponse(NamedTuple):
    """What a response to another request said, for the log."""

    answered_id: str
    status: int
    declined: bool
    signals: tuple[str, ...]


class ServerResponse(Protocol):
    """The head of a server's response, and its body on demand.

    ``length`` is the header that says how long the body is, none if that isn't known.
    ``own`` is whether it answers this request: if not, it says nothing about it.  ``answered_id``
    is the id of the request that it names, '' for none.  ``skipped`` is the response to another
    request that came before it on its connection, if any.  ``sealed`` is whether it has the
    server's seal, the receipt of a run, ``encoded`` whether its body was encoded on the way, and
    ``declined`` whether it has the header of a refusal: ``attempts.judge`` decides whether that
    proves that the server did not run the request.  ``signals`` are the header values that
    describe the server itself, by the signal's name.
    Reading the body raises ``ServerLost`` if it ends early.
    """

    status: int
    headers: Pairs
    length: Pairs
    own: bool
    answered_id: str
    skipped: ForeignResponse | None
    sealed: bool
    encoded: bool
    declined: bool
    from_other_server: bool
    signals: Mapping[str, str]

    def events(self) -> AsyncIterator[bytes]:
        """Yield complete events of a stream as they arrive."""

    async def whole(self) -> bytes:
        """Return the complete body; raise ``BodyTooLong`` if it is too long to be held back."""

    def rest(self) -> AsyncIterator[bytes]:
        """Yield the body from its start as it arrives, after ``whole`` raised ``BodyTooLong``."""


def foreign_response(response: ServerResponse) -> ForeignResponse:
    """Return what a response to another request said."""
    return ForeignResponse(
        response.answered_id, response.status, response.declined, tuple(sorted(response.signals))
    )


class ServerConnections(Protocol):
    """Connections to the servers."""

    def exchange(self, call: ServerCall) -> AbstractAsyncContextManager[ServerResponse]:
        """Send a request and provide its response.

        Raises ``NeverSent`` if the server did not get it (``ServerLeft`` if the server
        is leaving), ``ServerLost`` if it may have run; ``CallerLeft`` comes from ``may_send``.
        """

    async def check(self, server: RouteServer) -> None:
        """Connect to a server without sending anything.

        Raises ``ServerRefused`` if nothing listens there, ``NeverSent`` if that is uncertain.
        """


class Sink(Protocol):
    """Writes the answer to the caller."""

    async def start(self, status: int, headers: Pairs) -> None:
        """Send the head of a streamed answer."""

    async def write(self, data: bytes) -> None:
        """Send a part of the streamed answer."""

    async def finish(self) -> None:
        """End the streamed answer as complete."""

    async def reply(self, status: int, headers: Pairs, body: bytes) -> None:
        """Send a complete response of a server."""

    async def refuse(self, refusal: Refusal) -> None:
        """Send an error of the router."""
