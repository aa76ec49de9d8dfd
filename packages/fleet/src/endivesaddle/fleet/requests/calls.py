"""The state of one caller's call at this router."""

import uuid
from typing import NamedTuple

import xxhash

from endivesaddle.fleet.interfaces import CallerRequest, Choice, RoutingRequest
from endivesaddle.wire import holders_pb2

SERVICE = 'service'


class PlacedAttempt(NamedTuple):
    """An attempt, and the backend server and sidecar chosen for it."""

    attempt: int
    server: str
    sidecar: str
    incarnation: int


class Call:
    """A caller's request at this router, from its claim to its end.

    ``may_be_claimed`` is set once a claim was or may have been granted: the next one,
    possibly at another holder, counts as a retry. ``may_have_run`` is set once a backend
    server may have received the request. ``choice`` is the choice of routing whose end has
    to be reported to it. ``excluded`` are servers that were lost, ``passed_over`` servers
    that refused temporarily. ``withdrawn`` are attempts that this call will not start any
    more. ``tries`` counts the attempts that this call dispatched; attempt numbers can't
    serve for that, as they continue from one call of a request to the next.
    """

    def __init__(self, request: CallerRequest, data_centre: str) -> None:
        """Initialize a call that has not been claimed."""
        self.request = request
        self.call_id = uuid.uuid4().hex
        self.digest = _digest(request)
        self.may_be_claimed = False
        self.may_have_run = False
        self.record = holders_pb2.Record()
        self.owner = False
        self.tries = 0
        self.choice: Choice | None = None
        self.excluded: set[str] = set()
        self.passed_over: set[str] = set()
        self.withdrawn: set[int] = set()
        self.steps: list[holders_pb2.Step] = []
        self._data_centre = data_centre

    @property
    def no_earlier_attempt(self) -> bool:
        """Tell whether no earlier attempt of the request can exist."""
        return self.request.first_attempt or not self.request.named

    @property
    def first_attempt(self) -> bool:
        """Tell whether no holder can know the request yet."""
        return self.no_earlier_attempt and not self.may_be_claimed

    @property
    def target(self) -> str:
        """The model, or the service with method and path."""
        request = self.request
        if request.kind == SERVICE:
            return f'service {request.service} {request.method} {request.path}'
        return request.model

    def placed(self) -> PlacedAttempt:
        """Return the attempt that the record names."""
        record = self.record
        return PlacedAttempt(
            record.attempt, record.server, record.sidecar, record.sidecar_incarnation
        )

    def routing_request(self) -> RoutingRequest:
        """Return what the request requires of a backend server."""
        request = self.request
        return RoutingRequest(
            request_key=request.key,
            account=request.account,
            kind=request.kind,
            model=request.model,
            service=request.service,
            prompt_tokens=max(0, request.bound_tokens - request.max_tokens),
            max_tokens=request.max_tokens,
            priority=request.priority,
            deadline_unix_s=request.deadline_unix_s,
            data_centre=self._data_centre,
            prefix_hashes=request.prefix_hashes,
        )


def _digest(request: CallerRequest) -> str:
    hasher = xxhash.xxh3_128()
    for part in (request.method, request.path, request.service, request.model):
        hasher.update(f'{part}\n'.encode())
    hasher.update(request.body)
    return hasher.hexdigest()
