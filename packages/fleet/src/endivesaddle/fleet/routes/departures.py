"""Callers that disconnect before their answer is complete, and the work that is left of them.

A close is noticed late: it may be unread in the socket while this process works on other requests.
``Caller.gone`` therefore looks at the connection itself; it is called right before each step that
can't be undone.
"""

import enum
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple, Protocol

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes import run_events as events

MS_PER_S = 1000


class CallerLeft(Exception):
    """The caller of a request is gone, so that the request is not sent any more."""


class Stage(enum.Enum):
    """Where the request of a caller is.

    In ``RESUMING`` the origin of its stream is looked for; ``RESERVING`` is the wait for tokens of
    its account.
    """

    READING = 'reading'
    RESUMING = 'resuming'
    RESERVING = 'reserving'
    PLACING = 'placing'
    CONNECTING = 'connecting'
    SENT = 'sent'
    RETRYING = 'retrying'
    STREAMING = 'streaming'


class SeenBy(enum.Enum):
    """What noticed that a caller is gone."""

    LISTENER = 'listener'
    CHECK = 'check'
    UNREAD_ANSWER = 'unread_answer'


class Connection(Protocol):
    """The connection of a caller."""

    def closed(self) -> bool:
        """Return whether the caller has closed it, also if that has not been read yet."""

    def has_unsent(self) -> bool:
        """Return whether written data waits until the caller has read what came before."""

    def subscribe(self, notify: Callable[[], None]) -> None:
        """Call ``notify`` when the close has been read; it replaces the previous one."""

    def unsubscribe(self, notify: Callable[[], None]) -> None:
        """Don't call ``notify`` any more."""


class Departure(NamedTuple):
    """How it was noticed that a caller is gone, and where its request was then."""

    stage: Stage
    seen_by: SeenBy
    seen_unix_s: float


class Caller:
    """The caller of one request."""

    def __init__(
        self, request_id: str, connection: Connection | None, departures: 'Departures'
    ) -> None:
        """Initialize as connected; without a ``connection``, only ``left`` tells otherwise."""
        self.request_id = request_id
        self.stage = Stage.READING
        self.departure: Departure | None = None
        self._connection = connection
        self._departures = departures

    def gone(self) -> bool:
        """Return whether the caller has disconnected, as of now."""
        if self.departure is None and self._connection is not None and self._connection.closed():
            self.left(SeenBy.CHECK)
        return self.departure is not None

    def check(self) -> None:
        """Raise ``CallerLeft`` if the caller has disconnected, as of now."""
        if self.gone():
            raise CallerLeft(self.request_id)

    def left(self, seen_by: SeenBy) -> None:
        """Record that the caller has disconnected; the first observation counts."""
        if self.departure is None:
            self.departure = self._departures.record(self, seen_by)

    @contextmanager
    def notifies(self, notify: Callable[[], None]) -> Iterator[None]:
        """Call ``notify`` if the close of the caller's connection is read within the block."""
        if self._connection is None:
            yield
            return
        self._connection.subscribe(notify)
        try:
            yield
        finally:
            self._connection.unsubscribe(notify)

    def sent(self, server: str) -> None:
        """Record that the request is sent to a server."""
        if self.departure is not None:
            self._departures.record_sent(self, self.departure, server)
        self.stage = Stage.SENT

    def ended(self, server: str, answer_events: int) -> None:
        """Record that nothing works on the request at a server any more, if it was sent there."""
        if self.departure is not None and self.stage is not Stage.CONNECTING:
            self._departures.record_ended(self, self.departure, server, answer_events)


class Departures:
    """Logs and counts the callers of one router that disconnect."""

    def __init__(self, clock: Clock, lag_s: Callable[[], float] = float) -> None:
        """Initialize; ``lag_s`` returns the recent lag of the event loop, in seconds.

        A close may have been unread for that long when it is noticed.
        """
        self._clock = clock
        self._lag_s = lag_s
        self._counts: Counter[str] = Counter()

    def caller(self, request_id: str, connection: Connection | None = None) -> Caller:
        """Return the caller of a request that arrives."""
        return Caller(request_id, connection, self)

    def counters(self) -> dict[str, int]:
        """Return the numbers of departures by stage, and of what was sent or ended after them."""
        return {
            'callers_gone': 0,
            'sent_after_gone': 0,
            'ended_after_gone': 0,
            'ended_after_gone_ms': 0,
            **self._counts,
        }

    def record(self, caller: Caller, seen_by: SeenBy) -> Departure:
        """Log the departure of a caller."""
        self._counts['callers_gone'] += 1
        self._counts[f'callers_gone_{caller.stage.value}'] += 1
        events.GONE.log(
            request_id=caller.request_id,
            stage=caller.stage.value,
            seen_by=seen_by.value,
            lag_s=self._lag_s(),
        )
        return Departure(caller.stage, seen_by, self._clock.now_s())

    def record_sent(self, caller: Caller, departure: Departure, server: str) -> None:
        """Log a request that is sent although its caller is gone."""
        self._counts['sent_after_gone'] += 1
        events.SENT_AFTER_GONE.log(
            request_id=caller.request_id, server=server, **self._since(departure)
        )

    def record_ended(
        self, caller: Caller, departure: Departure, server: str, answer_events: int
    ) -> None:
        """Log the end of the work at a server for a caller that is gone."""
        since = self._since(departure)
        self._counts['ended_after_gone'] += 1
        self._counts['ended_after_gone_ms'] += round(since['after_s'] * MS_PER_S)
        events.ENDED_AFTER_GONE.log(
            request_id=caller.request_id, server=server, events=answer_events, **since
        )

    def _since(self, departure: Departure) -> dict[str, float]:
        after_s = round(self._clock.now_s() - departure.seen_unix_s, 4)
        return {'after_s': after_s, 'lag_s': self._lag_s()}
