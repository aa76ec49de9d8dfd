"""A request on a route, as the decisions see it, and the ports that carry it."""

import hashlib
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

from endivesaddle.fleet.routes.declared import Route, RouteAccount, RouteServer
from endivesaddle.fleet.routing.backends import ForwardRoutingRequest
from endivesaddle.fleet.sentinels import Refusal

DIGEST_BYTES = 16
URGENCIES = 9
"""The least urgent rank that a server knows."""

Pairs = tuple[tuple[str, str], ...]


class ForwardRequest(NamedTuple):
    """One request on a route, checked.

    ``end_unix_s`` is when the caller's deadline or the route's time-out is
    reached, whichever comes first.  ``cost_tokens`` is its worst case.
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

    @property
    def cost_tokens(self) -> int:
        """The most that it can spend."""
        return self.prompt_tokens + self.max_tokens

    @property
    def urgency(self) -> int:
        """Its rank, the account's before the route's; 0 is the most urgent."""
        account = self.account
        rank = self.route.priority
        if account is not None and account.priority is not None:
            rank = account.priority
        return max(0, min(URGENCIES, rank))

    @property
    def homes(self) -> frozenset[str] | None:
        """The regions in which it may be served, None for all; route and account both bind."""
        bounds = [self.route.homes, self.account.homes if self.account else frozenset()]
        named = [homes for homes in bounds if homes]
        return frozenset.intersection(*named) if named else None

    def digest(self) -> str:
        """Return what tells this request from others, the same for each attempt of a caller.

        Whoever sends it again has the same account, host, method, target and body, and another id.
        A cryptographic hash, so that nobody can make a request that is taken for another's.
        """
        account = self.account.name if self.account else ''
        state = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for part in (account, self.route.host, self.method, self.target):
            state.update(f'{len(part)}:{part}'.encode())
        state.update(self.body)
        return state.hexdigest()

    def routing_request(self, service: str) -> ForwardRoutingRequest:
        """Return what it asks of a server of a service."""
        return ForwardRoutingRequest(
            self.request_id,
            service,
            self.parts,
            self.prompt_tokens,
            self.max_tokens,
            self.urgency,
        )


class ServerCall(NamedTuple):
    """One sending of a request to one server.

    ``last_event`` is the number of the last event that the caller has, -1 for none;
    ``may_send`` tells whether the server takes requests at that moment.
    """

    request: ForwardRequest
    server: RouteServer
    end_unix_s: float
    last_event: int
    may_send: Callable[[], bool]


class ServerResponse(Protocol):
    """The head of a server's answer, and its body on demand.

    ``own`` tells that it answers this request, ``sealed`` that the server vouches
    for it, ``declined`` that the server did not run the request and won't,
    ``signals`` what the server tells of itself, the texts of headers by the signal's name.
    The body raises ``ServerLost`` where it ends early.
    """

    status: int
    headers: Pairs
    own: bool
    sealed: bool
    declined: bool
    misdirected: bool
    signals: Mapping[str, str]

    def events(self) -> AsyncIterator[bytes]:
        """Yield whole events of a stream as they arrive."""

    async def whole(self) -> bytes:
        """Return the whole body."""


class ServerConnections(Protocol):
    """Connections to the servers."""

    def exchange(self, call: ServerCall) -> AbstractAsyncContextManager[ServerResponse]:
        """Send a request and give its answer.

        Raises ``NeverSent`` where the server did not get it (``ServerLeft`` where it
        is leaving), ``ServerLost`` where it may have run.
        """

    async def check(self, server: RouteServer) -> None:
        """Connect to a server, sending nothing.

        Raises ``ServerRefused`` where nobody listens, ``NeverSent`` where that can't be told.
        """


class Sink(Protocol):
    """The way back to the caller."""

    async def start(self, status: int, headers: Pairs) -> None:
        """Send the head of a streamed answer."""

    async def write(self, data: bytes) -> None:
        """Send a part of it."""

    async def finish(self) -> None:
        """End it as complete."""

    async def reply(self, status: int, headers: Pairs, body: bytes) -> None:
        """Send a whole answer of a server."""

    async def refuse(self, refusal: Refusal) -> None:
        """Send an answer of the router's own."""
