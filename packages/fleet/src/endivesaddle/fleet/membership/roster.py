"""Everything that one instance knows of the others."""

from collections.abc import Iterable, Sequence

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.membership import records
from endivesaddle.fleet.membership.change_log import ChangeLog, Version
from endivesaddle.fleet.membership.index import Index
from endivesaddle.fleet.membership.settings import MembershipSettings
from endivesaddle.fleet.membership.signal import Signal
from endivesaddle.fleet.membership.silence import Silence
from endivesaddle.wire import members_pb2

_CACHED_S = 1.0


class Roster:
    """Records of all instances, with the silence that is seen from here.

    A record says what the router that watches an instance says of it.  What is
    unreachable from here (a data centre behind a partition, a router and all
    that beat to it) is worked out on reading and never told to others: both
    sides of a partition would otherwise declare each other gone, and take it
    back one by one after it healed.
    """

    def __init__(
        self, settings: MembershipSettings, identity: Identity, clock: Clock, version: Version
    ) -> None:
        """Start with nobody known."""
        self._identity = identity
        self._clock = clock
        self._settings = settings
        self.records: ChangeLog[str, members_pb2.Member] = ChangeLog(version)
        self.silence = Silence(settings, clock, version)
        self.pressing = Signal()
        """Fires when something changed that can't wait for the next beats."""
        self.index = Index()
        self._gone_unix_s: dict[str, float] = {}
        self._cache: dict[tuple[str, str], Sequence[members_pb2.Member]] = {}
        self._cached_until_unix_s = 0.0

    def find(self, instance: str) -> members_pb2.Member | None:
        """Return the record of an instance."""
        return self.records.find(instance)

    def put(self, record: members_pb2.Member, source: str) -> None:
        """Enter a record as it is."""
        known = self.records.find(record.instance)
        self.records.put(record.instance, record, source)
        if known is not None:
            self.index.remove(known)
        self.index.add(record)
        if record.state == records.GONE:
            self._gone_unix_s.setdefault(record.instance, self._clock.now_s())
        else:
            self._gone_unix_s.pop(record.instance, None)
        self.silence.expect(record)
        if records.urgent(known, record):
            self._cache.clear()
            self.pressing.fire()

    def merge(self, heard: Iterable[members_pb2.Member], source: str) -> list[members_pb2.Member]:
        """Take in records; return those that brought something new."""
        news = []
        for member in heard:
            known = self.records.find(member.instance)
            if known is None and member.state == records.GONE:
                # Learnt anew by each that starts, the dead would never be forgotten.
                continue
            record = member if known is None else records.merged(known, member)
            if record is None:
                continue
            self.put(record, source if record == member else '')
            news.append(record)
        return news

    def state(self, record: members_pb2.Member) -> str:
        """Return how an instance stands, as seen from here."""
        seen = max(record.state, self._seen(record), key=_WORSE.index)
        if seen == records.GONE:
            return seen
        if record.left or records.listed_leaving(record):
            return records.LEAVING
        return seen

    def members(self, role: str, data_centre: str = '') -> Sequence[members_pb2.Member]:
        """Return live and suspect members of a role, by name."""
        now_unix_s = self._clock.now_s()
        if now_unix_s >= self._cached_until_unix_s:
            self._cache.clear()
            self._cached_until_unix_s = now_unix_s + _CACHED_S
        key = (role, data_centre)
        if key not in self._cache:
            self._cache[key] = self._choose(role, data_centre)
        return self._cache[key]

    def leaving(self, instance: str) -> bool:
        """Tell whether an instance is leaving or gone; False when unknown."""
        record = self.records.find(instance)
        return record is not None and self.state(record) in {records.LEAVING, records.GONE}

    def of_data_centre(self, data_centre: str, role: str = '') -> list[members_pb2.Member]:
        """Return the records of one data centre, in any state."""
        roles = (role,) if role else (records.ROUTER, records.SIDECAR)
        return [record for one in roles for record in self._found(self.index.of(one, data_centre))]

    def at_address(self, address: str) -> members_pb2.Member | None:
        """Return the record of the instance at an address."""
        return self.records.find(self.index.at(address))

    def beside(self, server: str) -> members_pb2.Member | None:
        """Return the sidecar beside a backend server, a live one if there is."""
        known = self._found(self.index.beside(server))
        return min(known, key=self._choice, default=None)

    def forget(self) -> list[members_pb2.Member]:
        """Drop what has been gone for long, and return it."""
        forgotten = []
        limit_unix_s = self._clock.now_s() - self._settings.forget_s
        for instance, gone_unix_s in list(self._gone_unix_s.items()):
            if gone_unix_s < limit_unix_s:
                forgotten.append(self._drop(instance))
        return [record for record in forgotten if record is not None]

    def _drop(self, instance: str) -> members_pb2.Member | None:
        record = self.records.find(instance)
        self._gone_unix_s.pop(instance)
        self.records.drop(instance)
        if record is not None:
            self.index.remove(record)
            self.silence.forget(record)
            self._give_up_orphans(record.address)
        return record

    def _give_up_orphans(self, via: str) -> None:
        # What died with its router is gone as long as that is remembered, and
        # would be live again afterwards.
        for record in list(self.records):
            if record.via == via and record.state != records.GONE:
                self.put(records.declared(record, records.GONE, record.sequence, via), '')

    def _found(self, names: Iterable[str]) -> list[members_pb2.Member]:
        found = map(self.records.find, names)
        return [record for record in found if record is not None]

    def _choice(self, record: members_pb2.Member) -> tuple[int, int]:
        return _WORSE.index(self.state(record)), -record.incarnation

    def _choose(self, role: str, data_centre: str) -> list[members_pb2.Member]:
        chosen = []
        for record in self._found(self.index.of(role, data_centre)):
            state = self.state(record)
            if state in records.USABLE:
                chosen.append(_shown(record, state))
        return sorted(chosen, key=_name)

    def _seen(self, record: members_pb2.Member) -> str:
        own = self._identity
        if own.role != records.ROUTER or record.instance == own.instance:
            return records.LIVE
        return max(self._orphaned(record), self._silent(record), key=_WORSE.index)

    def _silent(self, record: members_pb2.Member) -> str:
        if record.data_centre != self._identity.data_centre:
            return self.silence.of_data_centre(record.data_centre)
        if record.role == records.ROUTER:
            return self.silence.of_router(record.instance)
        return self._of_router_at(record.via)

    def _orphaned(self, record: members_pb2.Member) -> str:
        # An instance that died together with the router that watched it has
        # nobody to declare it gone.  A live one beats to another router within
        # two beats, so the limits for silence do.
        via = self.index.at(record.via)
        gone_unix_s = self._gone_unix_s.get(via)
        if gone_unix_s is None:
            return records.LIVE
        return self.silence.after(self._clock.now_s() - gone_unix_s, 0)

    def _of_router_at(self, address: str) -> str:
        via = self.at_address(address)
        if via is None or via.instance == self._identity.instance:
            return records.LIVE
        return self.silence.of_router(via.instance)


_WORSE = (records.LIVE, records.SUSPECT, records.LEAVING, records.GONE)


def _name(record: members_pb2.Member) -> str:
    return record.instance


def _shown(record: members_pb2.Member, state: str) -> members_pb2.Member:
    if record.state == state:
        return record
    shown = records.copied(record)
    shown.state = state
    return shown
