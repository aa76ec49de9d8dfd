"""Borders between the parts of one router or sidecar, and the data that cross them.

A request passes them in this order: callers make a ``CallerRequest``; the
front claims it (``Budgets``), has a backend server chosen (``Routing``),
starts and follows the run at a sidecar, and returns an ``Answer``.
"""

import math
from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple, Protocol

from endivesaddle.fleet.sentinels import NotHolder, Refusal
from endivesaddle.wire import holders_pb2, runs_pb2


class CallerRequest(NamedTuple):
    """One request of a caller, checked and with its bound worked out.

    ``request_id`` is the caller's Idempotency-Key, or made (then ``named`` is
    False).  ``first_attempt`` is True only when the caller's retry counter says
    so.  ``kind`` is engine or service.  ``path`` is the path on the backend
    server.  ``bound_tokens`` is the worst case: prompt bound + max tokens, or
    the service's cost.
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
        """The request key: one account can't name another's request."""
        return f'{self.account}/{self.request_id}'


class Answer(NamedTuple):
    """An answer under way: ``chunks`` yields it whole, from its first byte.

    ``chunks`` raises ``AnswerInterrupted`` when it can't be completed.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: AsyncIterator[bytes]
    attempt: int = 1


class AnswerInterrupted(Exception):
    """A streamed answer can't be completed; ``refusal`` tells what is known."""

    def __init__(self, refusal: Refusal) -> None:
        """Carry what the caller is told."""
        super().__init__(refusal.reason)
        self.refusal = refusal


class RequestHandler(Protocol):
    """What callers' requests are handed to in a router."""

    async def serve(self, request: CallerRequest) -> Answer | Refusal:
        """Claim, route and run a request, or attach to its run."""


class Reserved(NamedTuple):
    """A granted reservation, or the epoch under which a shard is held.

    ``batch`` goes into the request's record: it tells a later holder whether the
    settled tokens in the store include this reservation.  ``since_unix_s`` is when
    this instance took the epoch; infinite where that isn't known.
    """

    shard: int
    data_centre: str
    epoch: int
    batch: int = 0
    since_unix_s: float = math.inf


class Budgets(Protocol):
    """Budgets as the claims of a holder see them."""

    async def reserve(
        self,
        account: str,
        request_key: str,
        bound_tokens: int,
        deadline_unix_s: float,
    ) -> Reserved | Refusal | NotHolder:
        """Reserve the worst case, waiting up to the deadline where it may yet fit."""

    def settle(self, account: str, request_key: str, epoch: int, used_tokens: int) -> int:
        """Settle a request once; return the billed tokens, also when repeated.

        Never bills beyond the reservation.  Used 0 releases it.
        """

    def held(self, account: str) -> Reserved | NotHolder:
        """Tell under which epoch this instance holds the account's shard."""

    def recovered(self, account: str) -> bool:
        """Tell whether all claims under older epochs of the shard are known here.

        Until then the holder can't say of a request that it did not run.
        """

    def holder_address(self, account: str, data_centre: str) -> str:
        """Return the address of the account's holder in a data centre ('' unknown)."""

    def confirmed_unix_s(self, account: str) -> float:
        """Return when the store last confirmed that this instance holds the shard."""


class ClaimRecovery(Protocol):
    """What budgets tell the claims after a takeover."""

    def adopt(self, shard: int, records: Sequence[holders_pb2.Record], complete: bool) -> None:
        """Take in what ran under sealed epochs; ``complete``: nothing is missing."""


class RoutingRequest(NamedTuple):
    """What a request wants of a backend server.

    ``prefix_hashes`` are xxh3 hashes of the prompt's growing prefixes, block by
    block, the shortest first.
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
    """A chosen backend server and the address of its sidecar."""

    server: str
    sidecar: str
    first_token_unix_s: float


class Routing(Protocol):
    """Admission and choice of backend servers in a router."""

    async def admit(
        self, routing_request: RoutingRequest, exclude: frozenset[str] = frozenset()
    ) -> Choice | Refusal:
        """Choose a backend server, waiting in a bounded queue if need be."""

    def first_token(self, choice: Choice, routing_request: RoutingRequest) -> None:
        """Learn that the first token came."""

    def ended(
        self, choice: Choice, routing_request: RoutingRequest, ok: bool, used_tokens: int
    ) -> None:
        """Learn that a run ended, well or not; always called once after ``admit``."""

    def may_retry(self, account: str) -> bool:
        """Spend from the retry budget; False when it is used up."""


class EngineEvent(NamedTuple):
    """A piece of a backend server's answer, in order.

    First one with ``status`` and ``headers``, then ones with ``data``; the last
    has ``ended`` and, where the engine reports it, ``used_tokens`` (else -1).
    """

    data: bytes = b''
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    ended: bool = False
    used_tokens: int = -1


class BackendServerClient(Protocol):
    """One backend server, as its sidecar reaches it."""

    def run(self, message: runs_pb2.StartRequest) -> AsyncIterator[EngineEvent]:
        """Send a request and yield its answer.

        Raises ``NeverSent`` (the server did not get it) or ``ServerLost`` (it may
        have run).  Closing the iterator cancels the run on the server.
        """

    async def load(self) -> runs_pb2.Load:
        """Return the server's own load report; raises ``ServerLost``."""

    async def order(self, message: runs_pb2.OrderRequest) -> runs_pb2.OrderReply:
        """Give the server an order with its fencing number."""


class NeverSent(Exception):
    """The backend server was not reached: it did not run the request."""


class ServerLeft(NeverSent):
    """The backend server began to leave before the request was on its way."""


class ServerRefused(NeverSent):
    """Nobody listens at the backend server's address: its process has ended."""


class ServerLost(Exception):
    """The backend server broke off or fell silent: it may have run the request."""
