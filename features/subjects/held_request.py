"""Subject: records of a request that ended servers, and those of another instance."""

import itertools

from endivesaddle.fleet.routes.advertised_limits import AdvertisedLimits
from endivesaddle.fleet.routes.leaving_servers import LeavingServers
from endivesaddle.fleet.routes.peer_updates import PeerUpdates, UpdateSources
from endivesaddle.fleet.routing.crash_records import CrashRecords, EndedRun
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.wire import routers_pb2

REQUEST = 'request'
RUN_S = 0.5
START = routers_pb2.NewsMark()


class HeldRequest:
    """Two instances' records; time is what the scenario says."""

    def __init__(self, ends: int) -> None:
        """Have servers end under the request."""
        self.now_unix_s = 1_700_000_000.0
        self.records = CrashRecords(ForwardSettings())
        self._other = CrashRecords(ForwardSettings())
        self._updates = PeerUpdates(
            UpdateSources(self.records, LeavingServers(), AdvertisedLimits()), self
        )
        self._other_updates = PeerUpdates(
            UpdateSources(self._other, LeavingServers(), AdvertisedLimits()), self
        )
        self._lives = itertools.count()
        for _ in range(ends):
            self.now_unix_s += 1
            self.end()

    def end(self, digest: str = REQUEST) -> None:
        """Have one more server end under a request."""
        run = EndedRun(self.now_unix_s - RUN_S, self.now_unix_s)
        self.records.record_crash(digest, f'life-{next(self._lives)}', run, self.now_unix_s)

    def held_s(self) -> float:
        """Return for how long the request is held back."""
        return self.records.held_s(REQUEST, self.now_unix_s)

    def held_elsewhere_s(self) -> float:
        """Return for how long the other instance holds it back."""
        return self._other.held_s(REQUEST, self.now_unix_s)

    def now_s(self) -> float:
        """Tell the time."""
        return self.now_unix_s

    def answer_elsewhere(self) -> None:
        """Tell the other instance twice, and have the request answered there."""
        self._early = self._updates.since(START)
        self._other_updates.merge(self._early, 'test')
        self._other_updates.merge(self._early, 'test')
        assert self.held_elsewhere_s()
        self._other.record_success(REQUEST, self.now_unix_s)

    def tell_all_again(self) -> None:
        """Tell what was known before the answer once more, and then all, both ways."""
        self._other_updates.merge(self._early, 'test')
        self._updates.merge(self._other_updates.since(START), 'test')
        self._other_updates.merge(self._updates.since(START), 'test')
