"""Subject: records of a request that crashed servers, and those of another instance."""

import itertools

from endivesaddle.fleet.routes.advertised_limits import AdvertisedLimits
from endivesaddle.fleet.routes.leaving_servers import LeavingServers
from endivesaddle.fleet.routes.peer_updates import PeerUpdates, UpdateSources
from endivesaddle.fleet.routing.crash_blame import EndedRun
from endivesaddle.fleet.routing.crash_records import CrashRecords
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.wire import routers_pb2

REQUEST = 'request'
RUN_S = 0.5
START = routers_pb2.NewsMark()


class HeldRequest:
    """Two instances' records; the scenario sets the time."""

    def __init__(self, crashes: int) -> None:
        """Crash ``crashes`` servers under the request."""
        self.now_unix_s = 1_700_000_000.0
        self.records = CrashRecords(ForwardSettings())
        self._other = CrashRecords(ForwardSettings())
        self._updates = PeerUpdates(
            UpdateSources(self.records, LeavingServers(), AdvertisedLimits()), self
        )
        self._other_updates = PeerUpdates(
            UpdateSources(self._other, LeavingServers(), AdvertisedLimits()), self
        )
        self._incarnations = itertools.count()
        for _ in range(crashes):
            self.now_unix_s += 1
            self.crash()

    def crash(self, digest: str = REQUEST) -> None:
        """Crash one more server under a request."""
        run = EndedRun(self.now_unix_s - RUN_S, self.now_unix_s)
        incarnation = f'life-{next(self._incarnations)}'
        self.records.record_crash((digest,), incarnation, run, self.now_unix_s)

    def held_s(self) -> float:
        """Return for how long the request is held back."""
        return self.records.held_s(REQUEST, self.now_unix_s)

    def held_elsewhere_s(self) -> float:
        """Return for how long the other instance holds it back."""
        return self._other.held_s(REQUEST, self.now_unix_s)

    def now_s(self) -> float:
        """Return the time."""
        return self.now_unix_s

    def merge_elsewhere(self) -> None:
        """Send the updates to the other instance twice, and answer the request there."""
        self._old_updates = self._updates.since(START)
        self._other_updates.merge(self._old_updates, 'test')
        self._other_updates.merge(self._old_updates, 'test')
        assert self.held_elsewhere_s()
        self._other.record_success((REQUEST,), self.now_unix_s, self.now_unix_s)

    def exchange_again(self) -> None:
        """Send the updates from before the answer once more, and then all, both ways."""
        self._other_updates.merge(self._old_updates, 'test')
        self._updates.merge(self._other_updates.since(START), 'test')
        self._other_updates.merge(self._updates.since(START), 'test')
