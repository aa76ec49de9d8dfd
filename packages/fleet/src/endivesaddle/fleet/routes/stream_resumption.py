"""Streams that callers take up again after their answer broke off."""

from collections import Counter

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes import run_events as events
from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routes.forwarded import ForwardRequest
from endivesaddle.fleet.routing.stream_origins import StreamOrigin, StreamOrigins


class StreamResumption:
    """Records where the streams of one router began, and finds it for those that are taken up."""

    def __init__(self, clock: Clock) -> None:
        """Initialize without streams."""
        self.origins = StreamOrigins()
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
        if request.route.resumable:
            self.origins.record(
                request.stream_key, origin, request.deadline_unix_s, self._clock.now_s()
            )
        return request._replace(origin=origin)

    def take_up(self, request: ForwardRequest) -> ForwardRequest:
        """Return a request that takes up a stream with the stream's origin, if that is known."""
        now_unix_s = self._clock.now_s()
        known = self.origins.find(request.stream_key, now_unix_s)
        self._counts['streams_taken_up'] += 1
        events.TAKEN_UP.log(
            request_id=request.request_id,
            resumes=request.resumes,
            last_event=request.last_event,
            service=known.origin.service if known else '',
            version=known.origin.version if known else '',
            known_by='own' if known else '',
            age_s=round(now_unix_s - known.learned_unix_s, 3) if known else 0,
        )
        return request._replace(origin=known.origin) if known else request
