"""What the tasks of membership in one process share."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.membership import events, records, tree
from endivesaddle.fleet.membership.change_log import Version
from endivesaddle.fleet.membership.children import Children
from endivesaddle.fleet.membership.loads import LoadBook, mean
from endivesaddle.fleet.membership.roster import Roster
from endivesaddle.fleet.membership.running_clock import RunningClock
from endivesaddle.fleet.membership.settings import MembershipSettings
from endivesaddle.fleet.membership.signal import Signal
from endivesaddle.wire import members_pb2, runs_pb2

_GAP_IN_BEATS = 2.5


class Changes(NamedTuple):
    """What one peer is sent of the tables, up to ``version``."""

    members: list[members_pb2.Member]
    loads: list[runs_pb2.Load]
    pulses: list[members_pb2.Pulse]
    version: int


class RevisionLink(NamedTuple):
    """How the beats know the configuration: its revision, and whom to tell of a higher one."""

    current: Callable[[], int]
    heard: Callable[[int, str], None]


def _no_revision() -> int:
    return 0


def _ignore(revision: int, address: str) -> None:
    """Take no notice of a revision: nothing follows them."""


class State:
    """Tables, children and the own record of one incarnation."""

    def __init__(self, settings: MembershipSettings, identity: Identity, clock: Clock) -> None:
        """Start with only the own record."""
        self.settings = settings
        self.identity = identity
        self.clock = clock
        running = RunningClock(clock, settings.beat_s * _GAP_IN_BEATS)
        self.version = Version(f'{identity.instance}/{identity.incarnation}')
        self.roster = Roster(settings, identity, running, self.version)
        self.loads = LoadBook(settings, clock, self.version)
        self.children = Children(settings, running)
        self.running = running
        self.exchanges = Signal()
        self.pressing = self.roster.pressing
        self.own = records.own_record(identity, int(clock.now_s()))
        self.roster.put(records.copied(self.own), '')
        self.revisions = RevisionLink(_no_revision, _ignore)

    @property
    def is_router(self) -> bool:
        """Tell whether others may beat to this instance."""
        return self.identity.role == records.ROUTER

    def next_record(self) -> members_pb2.Member:
        """Return the own record with the next sequence number."""
        self.own.sequence += 1
        self.own.revision = self.revisions.current()
        return self.own

    def announce(self) -> None:
        """Enter the own record anew and have it told at once."""
        self.roster.put(records.copied(self.next_record()), '')

    def take(self, members: Iterable[members_pb2.Member], source: str) -> None:
        """Take in records from a peer; what is urgent is passed on at once."""
        for record in self.roster.merge(members, source):
            self._tend(record)

    def changes(self, version: int, receiver: str) -> Changes:
        """Return what a router has not been sent yet."""
        return Changes(
            self.roster.records.since(version, receiver),
            self.loads.reports.since(version, receiver),
            self.roster.silence.pulses.since(version, receiver),
            self.version.number,
        )

    def load_reports(self, version: int) -> list[runs_pb2.Load]:
        """Return the own data centre's reports for the others: one by one, or their mean."""
        own = self.identity.data_centre
        reports = [load for load in self.loads.reports if self._data_centre(load) == own]
        if len(reports) > self.settings.loads_detailed:
            return [mean(own, reports, self.clock.now_s())]
        changed = self.loads.reports.since(version, '')
        return [load for load in changed if self._data_centre(load) == own]

    def order(self, data_centre: str, known: bool = False) -> list[members_pb2.Member]:
        """Return the routers of a data centre in the order of its tree.

        Only those that are live or suspect; with ``known`` also those that are
        only out of reach from here.
        """
        if known:
            routers = [
                record
                for record in self.roster.of_data_centre(data_centre, records.ROUTER)
                if record.state != records.GONE
            ]
        else:
            routers = list(self.roster.members(records.ROUTER, data_centre))
        by_name = {record.instance: record for record in routers}
        return [by_name[name] for name in tree.ordered(data_centre, list(by_name))]

    def _data_centre(self, load: runs_pb2.Load) -> str:
        sidecar = self.roster.beside(load.server)
        return sidecar.data_centre if sidecar else ''

    def _tend(self, record: members_pb2.Member) -> None:
        # A word about an instance that this router watches, or about itself, can
        # be older than what is known here: say it again with the later number.
        if record.instance == self.identity.instance:
            self._answer_for_itself(record)
            return
        child = self.children.find(record.instance)
        if child is None:
            return
        if record.incarnation > child.incarnation or record.sequence > child.sequence:
            self.children.drop(record.instance)
        elif record.state != child.state:
            sequence = child.sequence + 1
            self.roster.put(
                records.declared(record, child.state, sequence, self.identity.address), ''
            )

    def _answer_for_itself(self, record: members_pb2.Member) -> None:
        if record.incarnation > self.own.incarnation:
            events.REPLACED.log(incarnation=record.incarnation, address=record.address)
        elif record.state != records.LIVE:
            self.own.sequence = max(self.own.sequence, record.sequence)
            self.announce()
