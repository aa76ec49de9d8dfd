"""Interfaces between the components of a router or sidecar, and the data passed over them.

A request is processed in this order: ``callers`` creates a ``CallerRequest``; the
``RequestHandler`` claims it (``Budgets``), has a backend server selected (``Routing``),
starts and follows the run at a sidecar, and returns an ``Answer``.
"""

import math
from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple, Protocol

from endivesaddle.fleet.sentinels import NotHolder, Refusal
from endivesaddle.wire import holders_pb2, runs_pb2


class CallerRequest(NamedTuple):
    """A validated request of a caller, with its worst-case cost.

    ``request_id`` is the caller's Idempotency-Key, or generated (then ``named`` is
    False).  ``first_attempt`` is True only if the caller's retry counter says
    so.  ``kind`` is "engine" or "service".  ``path`` is the path on the backend
    server.  ``bound_tokens`` is the worst case: bound of the prompt plus max tokens,
    or the cost of the service.
    """

    account: str
    request_id: str
    named: bool
    first_attempt: bool
    kind: str
    model: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    stream: bool
    bound_tokens: int
    max_tokens: int
    may_repeat: bool
    priority: int
    deadline_unix_s: float
    prefix_hashes: tuple[int, ...] = ()

    @property
    def key(self) -> str:
        """The request key; it has the account, so accounts can't refer to each other's requests."""
        return f'{self.account}/{self.request_id}'


class Answer(NamedTuple):
    """An answer in progress; ``chunks`` yields all of it, from the first byte.

    ``chunks`` raises ``AnswerInterrupted`` if the answer can't be completed.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: AsyncIterator[bytes]
    attempt: int = 1


class AnswerInterrupted(Exception):
    """A streamed answer can't be completed; ``refusal`` has the known details."""

    def __init__(self, refusal: Refusal) -> None:
        """Initialize with the refusal to return to the caller."""
        super().__init__(refusal.reason)
        self.refusal = refusal


class RequestHandler(Protocol):
    """The component of a router that processes callers' requests."""

    async def serve(self, request: CallerRequest) -> Answer | Refusal:
        """Claim, route and run a request, or attach to a run in progress."""


class Reserved(NamedTuple):
    """A granted reservation, or the epoch under which a shard is held.

    ``batch`` is stored in the request's record, so that a later holder can determine
    whether the settled tokens in the store include this reservation.  ``since_unix_s`` is
    when this instance became the holder under the epoch; infinite if unknown.
    """

    shard: int
    data_centre: str
    epoch: int
    batch: int = 0
    since_unix_s: float = math.inf


class Budgets(Protocol):
    """The budgets, as used by the claims of a holder."""

    async def reserve(
        self,
        account: str,
        request_key: str,
        bound_tokens: int,
        deadline_unix_s: float,
    ) -> Reserved | Refusal | NotHolder:
        """Reserve the worst case; wait until the deadline while it may still fit."""

    def settle(self, account: str, request_key: str, epoch: int, used_tokens: int) -> int:
        """Settle a request once; return the billed tokens, also on a repeated call.

        The bill never exceeds the reservation.  ``used_tokens`` of 0 releases it.
        """

    def held(self, account: str) -> Reserved | NotHolder:
        """Return the epoch under which this instance holds the account's shard."""

    def recovered(self, account: str) -> bool:
        """Return whether all claims under older epochs of the shard are known on this instance.

        Until then the holder can't state that a request did not run.
        """

    def holder_address(self, account: str, data_centre: str) -> str:
        """Return the address of the account's holder in a data centre, or '' if unknown."""

    def confirmed_unix_s(self, account: str) -> float:
        """Return when the store last confirmed that this instance holds the shard."""


class ClaimRecovery(Protocol):
    """The interface by which budgets pass recovered records to the claims after a takeover."""

    def adopt(self, shard: int, records: Sequence[holders_pb2.Record], complete: bool) -> None:
        """Merge records of sealed epochs; ``complete`` means that none are missing."""


class RoutingRequest(NamedTuple):
    """What a request requires of a backend server.

    ``prefix_hashes`` are xxh3 hashes of the prefixes of the prompt at block boundaries,
    the shortest prefix first.
    """

    request_key: str
    account: str
    kind: str
    model: str
    service: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    deadline_unix_s: float
    data_centre: str
    prefix_hashes: tuple[int, ...] = ()


class Choice(NamedTuple):
    """A selected backend server and the address of its sidecar."""

    server: str
    sidecar: str
    first_token_unix_s: float


class Routing(Protocol):
    """Admission of requests and selection of backend servers in a router."""

    async def admit(
        self, routing_request: RoutingRequest, exclude: frozenset[str] = frozenset()
    ) -> Choice | Refusal:
        """Select a backend server; wait in a bounded queue if necessary."""

    def first_token(self, choice: Choice, routing_request: RoutingRequest) -> None:
        """Record that the first token of a run arrived."""

    def ended(
        self, choice: Choice, routing_request: RoutingRequest, ok: bool, used_tokens: int
    ) -> None:
        """Record the end of a run, successful or not; called exactly once after ``admit``."""

    def may_retry(self, account: str) -> bool:
        """Take one retry from the retry budget; return False if it is used up."""


class EngineEvent(NamedTuple):
    """One event of a backend server's answer.

    The first has ``status`` and ``headers``, the following ones ``data``.  The last one has
    ``ended`` and, if the engine reports them, ``used_tokens`` (otherwise -1).
    """

    data: bytes = b''
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    ended: bool = False
    used_tokens: int = -1


class BackendServerClient(Protocol):
    """A client of one backend server, used by its sidecar."""

    def run(self, message: runs_pb2.StartRequest) -> AsyncIterator[EngineEvent]:
        """Send a request and yield the events of its answer.

        Raises ``NeverSent`` (the server did not receive it) or ``ServerLost`` (it may
        have run).  Closing the iterator cancels the run on the server.
        """

    async def load(self) -> runs_pb2.Load:
        """Return the load reported by the server itself; raises ``ServerLost``."""

    async def order(self, message: runs_pb2.OrderRequest) -> runs_pb2.OrderReply:
        """Send an order with its fencing number to the server."""


class NeverSent(Exception):
    """The backend server was unreachable and did not run the request."""


class ServerLeft(NeverSent):
    """The backend server started to leave before the request was sent."""


class ServerReplaced(NeverSent):
    """The backend server is not, or may not be, the incarnation for which the request is."""


class ReportLost(NeverSent):
    """A connection brought no report of its server; another one may."""


class ServerRefused(NeverSent):
    """The backend server refused the connection because its process has ended."""


class ServerLost(Exception):
    """The connection failed or timed out; the backend server may have run the request."""


class BodyTooLong(ServerLost):
    """The body is too long to be held back; it can still be relayed as it arrives."""
