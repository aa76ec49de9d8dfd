"""Leave without cutting an answer."""

import anyio

from endivesaddle.fleet.clock import Clock, left_s
from endivesaddle.fleet.runs.events import DRAINED, DRAINING
from endivesaddle.fleet.runs.gate import Gate
from endivesaddle.fleet.runs.run import Run, Settling
from endivesaddle.fleet.runs.settings import RunSettings
from endivesaddle.fleet.runs.shelf import Shelf

LOOK_S = 0.1


class Drain:
    """Takes no new runs, and waits for those there are."""

    def __init__(self, settings: RunSettings, shelf: Shelf, gate: Gate, clock: Clock) -> None:
        """Drain the runs on ``shelf``."""
        self._settings = settings
        self._shelf = shelf
        self._gate = gate
        self._clock = clock

    def begin(self, reason: str) -> None:
        """Refuse new runs from now on."""
        if not self._gate.draining:
            self._gate.draining = True
            DRAINING.log(reason=reason, running=len(self._shelf.running()))

    async def wait(self, deadline_unix_s: float) -> None:
        """Return when nothing holds up the leaving, at the deadline at the latest."""
        with anyio.move_on_after(left_s(self._clock, deadline_unix_s)):
            while any(self._holds_up(run) for run in self._shelf):
                await anyio.sleep(LOOK_S)
        DRAINED.log(running=len(self._shelf.running()))

    def _holds_up(self, run: Run) -> bool:
        if run.running or run.settling is Settling.DUE or run.followers:
            return True
        # An answer that no router has whole may be asked for by a caller's retry.
        linger_unix_s = run.ended_unix_s + self._settings.drain_linger_s
        return not run.fetched and self._clock.now_s() < linger_unix_s
