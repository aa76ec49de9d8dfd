"""What a sidecar refuses to start, and why."""

from typing import NamedTuple

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import BackendServer
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.ports import FleetView
from endivesaddle.fleet.runs.marks import Marks
from endivesaddle.fleet.runs.seals import Seals
from endivesaddle.fleet.runs.settings import RunSettings
from endivesaddle.fleet.runs.shelf import Shelf
from endivesaddle.wire import runs_pb2


class Turned(NamedTuple):
    """Why a run is not started; ``code`` is stable and stands in docs/SIDECAR.md."""

    code: str
    reason: str
    not_run: bool = True


class Gate:
    """Checks each START before anything is done for it."""

    def __init__(
        self, settings: RunSettings, identity: Identity, view: FleetView, clock: Clock, shelf: Shelf
    ) -> None:
        """Guard the runs on ``shelf``."""
        self.draining = False
        self.newest_revision = 0
        self.seals = Seals()
        self.marks = Marks(clock)
        self._settings = settings
        self._identity = identity
        self._view = view
        self._clock = clock
        self._shelf = shelf
        self._declared: BackendServer | None = None
        self._declared_revision = 0

    def check(self, message: runs_pb2.StartRequest) -> Turned | None:
        """Return why a new run is refused, or None."""
        self.newest_revision = max(self.newest_revision, message.revision)
        return (
            self._check_message(message) or self._check_declaration(message) or self._check_full()
        )

    def leaving(self) -> bool:
        """Tell whether this sidecar takes no new runs."""
        declared = self._learn()
        if self.draining or (declared is not None and declared.leaving):
            return True
        return self._view.leaving(self._identity.instance)

    def _check_message(self, message: runs_pb2.StartRequest) -> Turned | None:
        if message.incarnation not in {0, self._identity.incarnation}:
            # The incarnation that was chosen may have run the request and died:
            # after a restart nothing is known of it, and a repeated START would
            # run it a second time.  So this is the one refusal that isn't "not run".
            return Turned('other_incarnation', 'the sidecar was restarted', not_run=False)
        if self.marks.covers(message.request_key, message.attempt):
            return Turned('cancelled', 'this attempt was cancelled before it came')
        if message.deadline_unix_s <= self._clock.now_s():
            return Turned('deadline_passed', 'the deadline has passed')
        if self.seals.sealed(message.shard, message.data_centre, message.epoch):
            return Turned('sealed_epoch', f'epoch {message.epoch} is sealed')
        return None

    def _check_declaration(self, message: runs_pb2.StartRequest) -> Turned | None:
        if self.leaving():
            return Turned('leaving', 'the backend server takes no new work')
        # A router that is a second behind is refused only where the change that
        # it lacks speaks of this very server; for any other it would be a false
        # refusal with each of the operators' changes.
        if message.revision < self._declared_revision:
            reason = f'the server was declared anew with revision {self._declared_revision}'
            return Turned('old_revision', reason)
        return None

    def _check_full(self) -> Turned | None:
        if len(self._shelf.running()) >= self._settings.max_running:
            return Turned('full', f'{self._settings.max_running} runs are under way')
        if len(self._shelf) >= self._settings.max_remembered:
            return Turned('full', 'too many runs have to be remembered')
        return None

    def _learn(self) -> BackendServer | None:
        configuration = self._view.configuration
        declared = configuration.servers.get(self._identity.server)
        if declared is not self._declared and declared != self._declared:
            # The first declaration that is seen is no change: nothing older ran here.
            first = self._declared is None
            self._declared_revision = 0 if first else configuration.revision
        self._declared = declared
        return declared
