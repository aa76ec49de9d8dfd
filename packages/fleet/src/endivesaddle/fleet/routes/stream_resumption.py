"""Streams that callers take up again after their answer broke off."""

from collections import Counter
from typing import NamedTuple, Protocol

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes import run_events as events
from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routes.forwarded import ForwardRequest
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


class _Finding(NamedTuple):
    """The origin of a stream, how it is known and since when; ``unsure`` if all were not asked."""

    origin: StreamOrigin | None
    known_by: str
    learned_unix_s: float = 0.0
    unsure: bool = False


class StreamResumption:
    """Records where the streams of one router began, and finds it for those that are taken up."""

    def __init__(self, clock: Clock, register: RecordedVersions | None = None) -> None:
        """Initialize without streams; without a ``register`` unknown streams continue anywhere."""
        self.origins = StreamOrigins()
        self._register = register
        self._clock = clock
        self._counts: Counter[str] = Counter()

    def counters(self) -> dict[str, int]:
        """Return the numbers of streams that began, were taken up and continued."""
        return {
            'streams_begun': 0,
            'streams_taken_up': 0,
            'streams_continued': 0,
            'stream_origins': len(self.origins),
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
            return request if self._register is None else _unknown(found)
        if found.origin.service not in {target.service for target in request.route.targets}:
            reason = f'the stream began at service {found.origin.service!r}, which the route left'
            return Refusal('stream_version_gone', reason, NOT_RUN, UNAVAILABLE)
        self._record(request, found.origin)
        return request._replace(origin=found.origin)

    async def _find(self, request: ForwardRequest) -> _Finding:
        known = self.origins.find(request.stream_key, self._clock.now_s())
        if known is not None:
            return _Finding(known.origin, 'own', known.learned_unix_s)
        recorded = await self._register.read() if self._register else None
        if recorded is None:
            return _Finding(None, 'nobody', unsure=True)
        origin = only_origin(recorded, request.route)
        return _Finding(origin, 'record' if origin else 'nobody', self._clock.now_s())

    def _record(self, request: ForwardRequest, origin: StreamOrigin) -> None:
        if request.route.resumable:
            self.origins.record(
                request.stream_key, origin, request.deadline_unix_s, self._clock.now_s()
            )

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
