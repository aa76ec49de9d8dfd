"""Streams that callers take up again after their answer broke off."""

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import anyio
from anyio.abc import TaskGroup

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes import run_events as events
from endivesaddle.fleet.routes.declared import Route, RouteServer
from endivesaddle.fleet.routes.forwarded import ForwardRequest
from endivesaddle.fleet.routes.origin_copies import FoundCopy
from endivesaddle.fleet.routing.service_versions import Versions, only_origin
from endivesaddle.fleet.routing.stream_origins import StreamOrigin, StreamOrigins
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal

UNAVAILABLE = 503
RETRY_AFTER_S = 0.5
"""Retry-After while the origin of a stream may be known to an instance that did not answer."""


class RecordedVersions(Protocol):
    """The software versions at which streams may have begun."""

    async def read(self) -> Versions | None:
        """Return the record as of now, None if the store does not answer."""


class CopiedOrigins(Protocol):
    """Copies of origins at other instances."""

    def add(self, key: bytes, route: Route) -> None:
        """Add a stream of this router, whose origin others may need."""

    async def ask(self, key: bytes) -> FoundCopy:
        """Ask others where a stream began."""


class ResumptionParts(NamedTuple):
    """The three places where the origin of a stream may be known."""

    origins: StreamOrigins
    register: RecordedVersions
    copies: CopiedOrigins


class _Finding(NamedTuple):
    """The origin of a stream, how it is known and since when.

    It is ``unsure`` that nobody knows it if someone who may know did not answer.
    """

    origin: StreamOrigin | None
    known_by: str
    learned_unix_s: float = 0.0
    unsure: bool = False


class _Started:
    """A read that runs beside other work, and its result, None until it ends."""

    def __init__(self, group: TaskGroup, read: Callable[[], Awaitable[Versions | None]]) -> None:
        self.result: Versions | None = None
        self._read = read
        group.start_soon(self._run)

    async def _run(self) -> None:
        self.result = await self._read()


class StreamResumption:
    """Records where the streams of one router began, and finds it for those that are taken up."""

    def __init__(self, clock: Clock, parts: ResumptionParts | None = None) -> None:
        """Initialize without streams; without ``parts`` unknown streams continue anywhere."""
        self._origins = parts.origins if parts else StreamOrigins()
        self._parts = parts
        self._clock = clock
        self._counts: Counter[str] = Counter()

    def counters(self) -> dict[str, int]:
        """Return the numbers of streams that began, were taken up and continued."""
        return {
            'streams_begun': 0,
            'streams_taken_up': 0,
            'streams_continued': 0,
            'stream_origins': len(self._origins),
            **self._counts,
        }

    def begin(self, request: ForwardRequest, server: RouteServer) -> ForwardRequest:
        """Record the server of a stream right before its first event goes to the caller.

        Returns the request as one that only this service and version may continue.
        """
        self._counts['streams_continued' if request.takes_up else 'streams_begun'] += 1
        origin = StreamOrigin(server.service, server.version)
        self._record(request, origin)
        return request._replace(origin=origin)

    async def take_up(self, request: ForwardRequest) -> ForwardRequest | Refusal:
        """Return a request that takes up a stream with the stream's origin.

        Refuses it if the origin can't be known, or if the route does not lead there any more.
        """
        found = await self._find(request)
        self._counts['streams_taken_up'] += 1
        self._counts[f'streams_known_by_{found.known_by}'] += 1
        self._log(request, found)
        if found.origin is None:
            return request if self._parts is None else _unknown(found)
        if found.origin.service not in {target.service for target in request.route.targets}:
            reason = f'the stream began at service {found.origin.service!r}, which the route left'
            return Refusal('stream_version_gone', reason, NOT_RUN, UNAVAILABLE)
        self._record(request, found.origin)
        return request._replace(origin=found.origin)

    async def _find(self, request: ForwardRequest) -> _Finding:
        known = self._origins.find(request.stream_key, self._clock.now_s())
        if known is not None:
            return _Finding(known.origin, 'own', known.learned_unix_s)
        if self._parts is None:
            return _Finding(None, 'nobody')
        if not request.resumes:
            # A caller that does not name its stream: only the record can tell.
            return self._by_record(request, await self._parts.register.read(), unsure=False)
        async with anyio.create_task_group() as group:
            record = _Started(group, self._parts.register.read)
            copy = await self._parts.copies.ask(request.stream_key)
            if copy.origin is not None:
                group.cancel_scope.cancel()
        if copy.origin is not None:
            return _Finding(copy.origin, 'copy', copy.learned_unix_s)
        return self._by_record(request, record.result, unsure=not copy.sure)

    def _by_record(
        self, request: ForwardRequest, recorded: Versions | None, *, unsure: bool
    ) -> _Finding:
        """Return the only origin that is on record; None stands for a record that was not read."""
        if recorded is None:
            return _Finding(None, 'nobody', unsure=True)
        origin = only_origin(recorded, request.route)
        if origin is None:
            return _Finding(None, 'nobody', unsure=unsure)
        return _Finding(origin, 'record', self._clock.now_s())

    def _record(self, request: ForwardRequest, origin: StreamOrigin) -> None:
        if not request.route.resumable:
            return
        key, until_unix_s = request.stream_key, request.deadline_unix_s
        new = self._origins.record(key, origin, until_unix_s, self._clock.now_s())
        if new and self._parts is not None:
            self._parts.copies.add(key, request.route)

    def _log(self, request: ForwardRequest, found: _Finding) -> None:
        age_s = self._clock.now_s() - found.learned_unix_s if found.origin else 0.0
        events.TAKEN_UP.log(
            request_id=request.request_id,
            resumes=request.resumes,
            last_event=request.last_event,
            service=found.origin.service if found.origin else '',
            version=found.origin.version if found.origin else '',
            known_by=found.known_by,
            age_s=round(age_s, 3),
        )


def _unknown(found: _Finding) -> Refusal:
    reason = 'the software version at which the stream began is not known'
    retry_after_s = RETRY_AFTER_S if found.unsure else 0
    return Refusal('stream_version_unknown', reason, NOT_RUN, UNAVAILABLE, retry_after_s)
