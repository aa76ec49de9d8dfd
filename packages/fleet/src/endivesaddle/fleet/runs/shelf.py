"""All runs that a sidecar knows, within fixed bounds of number and bytes."""

from collections.abc import Iterator, Sequence

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.runs.answer import BLOCK_BYTES, RUN_BYTES, KeptAnswer, Room
from endivesaddle.fleet.runs.events import ANSWER_DROPPED
from endivesaddle.fleet.runs.run import Past, Run, Settling
from endivesaddle.fleet.runs.settings import RunSettings
from endivesaddle.wire import holders_pb2, runs_pb2

SERVICE_ROOM_BYTES = 65_536
"""Room set aside for the answer of a plain service, whose length nobody knows."""


_SETTLED = frozenset((Settling.DONE, Settling.LEFT))


class Shelf:
    """Runs by request key, their kept answers and the room for more.

    Room is set aside when a run is accepted.  A run that filled the memory
    half way could only be cut, and running ones that wait for each other's
    room would stand still; refused before its start it is certainly not run.
    """

    def __init__(self, settings: RunSettings, clock: Clock) -> None:
        """Start without any."""
        self._settings = settings
        self._clock = clock
        self._room = Room()
        self._runs: dict[str, Run] = {}
        self._running: dict[str, Run] = {}
        self._past: dict[str, Past] = {}

    def __len__(self) -> int:
        """Return how many runs are remembered."""
        return len(self._runs) + len(self._past)

    def __iter__(self) -> Iterator[Run]:
        """Iterate over the runs that are not past, the first accepted first."""
        return iter(tuple(self._runs.values()))

    @property
    def kept_bytes(self) -> int:
        """Bytes of answers and requests, kept and set aside."""
        return self._room.used_bytes

    def find(self, request_key: str) -> Run | Past | None:
        """Return the last attempt at a request here."""
        return self._runs.get(request_key) or self._past.get(request_key)

    def under_seal(self, seal: holders_pb2.SealRequest) -> list[holders_pb2.Record]:
        """Return the records of what was begun under epochs that are sealed."""
        known: list[Run | Past] = [*self._past.values(), *self._runs.values()]
        records = (run.under_seal(seal) for run in known)
        return [record for record in records if record is not None]

    def add(self, run: Run) -> None:
        """Remember a run, in place of an earlier attempt at the same request."""
        earlier = self._runs.pop(run.key, None)
        if earlier is not None:
            earlier.settling = Settling.LEFT
            earlier.answer.release()
            run.steps = earlier.steps + run.steps
        self._runs[run.key] = run
        self._running[run.key] = run

    def ended(self, run: Run) -> None:
        """Learn that a run has ended."""
        self._running.pop(run.key, None)

    def running(self) -> Sequence[Run]:
        """Return the runs that the backend server may still work on."""
        return tuple(self._running.values())

    def set_aside(self, message: runs_pb2.StartRequest) -> KeptAnswer | None:
        """Return an empty answer with room for a new run, or None."""
        settings = self._settings
        wanted = SERVICE_ROOM_BYTES
        if message.kind != 'service':
            tokens = message.max_tokens or message.bound_tokens
            wanted = BLOCK_BYTES + tokens * settings.token_bytes
        # The request itself is held until the run ends, so it takes room too.
        wanted = min(wanted, settings.answer_bytes) + len(message.body) + RUN_BYTES
        return KeptAnswer(self._room, wanted) if self._free(wanted) else None

    def make_room(self, run: Run, more_bytes: int) -> bool:
        """Let an answer grow beyond what was set aside; False at the bounds."""
        answer = run.answer
        needed = answer.packed_bytes + more_bytes + len(run.message.body) + RUN_BYTES
        if needed <= answer.room_bytes:
            return True
        if answer.packed_bytes + more_bytes > self._settings.answer_bytes:
            return False
        if not self._free(needed - answer.room_bytes):
            return False
        answer.set_aside(needed)
        return True

    def sweep(self) -> None:
        """Drop answers and forget runs whose time has passed."""
        now_unix_s = self._clock.now_s()
        drop_unix_s = now_unix_s - self._settings.keep_answer_s
        for run in self:
            if not run.running and run.ended_unix_s < drop_unix_s:
                run.answer.drop()
                self._turn_past(run)
        # A START may still be on its way, or be sent twice.  After the deadline
        # that it carries it is refused as late, so the run need not be known any
        # more; before, forgetting it would let the request run a second time.
        for key, past in tuple(self._past.items()):
            if past.forget_unix_s < now_unix_s:
                self._past.pop(key)

    def _turn_past(self, run: Run) -> None:
        if run.settling in _SETTLED and not run.followers:
            run.answer.release()
            self._runs.pop(run.key)
            self._past[run.key] = run.past(self._settings.remember_s)

    def _free(self, wanted_bytes: int) -> bool:
        """Drop fetched answers, the oldest first, until there is room."""
        most_bytes = self._settings.answers_bytes - wanted_bytes
        if self.kept_bytes <= most_bytes:
            return True
        for run in self._droppable():
            run.answer.drop()
            self._turn_past(run)
            ANSWER_DROPPED.log(request_key=run.key, length_bytes=run.answer.length_bytes)
            if self.kept_bytes <= most_bytes:
                return True
        return False

    def _droppable(self) -> list[Run]:
        """Return ended runs whose answer some router has whole and nobody follows."""
        return sorted(
            (
                run
                for run in self._runs.values()
                if run.settling in _SETTLED and run.fetched and not run.followers
            ),
            key=lambda run: run.ended_unix_s,
        )
