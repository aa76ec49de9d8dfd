"""Silence of routers and data centres, found by pulses that go round the tree.

A router is declared gone by the one it beats to.  Where both are cut off or
die together nobody declares it; so every router's pulse, a number that grows,
is passed on to all of its data centre, and each instance judges for itself.
Data centres have a pulse too.
"""

import math
from collections.abc import Iterable

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.membership import records
from endivesaddle.fleet.membership.change_log import ChangeLog, Version
from endivesaddle.fleet.membership.settings import MembershipSettings
from endivesaddle.wire import members_pb2

_PULSE_BYTES = 14


class Silence:
    """Pulses with the time at which each last grew, on this process's clock."""

    def __init__(self, settings: MembershipSettings, clock: Clock, version: Version) -> None:
        """Start with no pulse heard."""
        self._settings = settings
        self._clock = clock
        self.pulses: ChangeLog[int, members_pb2.Pulse] = ChangeLog(version)
        self._heard_unix_s: dict[int, float] = {}
        self.routers = 1
        """Routers of the own data centre: the more, the rarer are the pulses."""

    def expect(self, record: members_pb2.Member) -> None:
        """Count the silence of a router and its data centre, from now if none was heard."""
        now_unix_s = self._clock.now_s()
        self._heard_unix_s.setdefault(records.data_centre_hash(record.data_centre), now_unix_s)
        if record.role == records.ROUTER:
            self._heard_unix_s.setdefault(records.name_hash(record.instance), now_unix_s)

    def forget(self, record: members_pb2.Member) -> None:
        """Drop the pulse of an instance that is forgotten."""
        of = records.name_hash(record.instance)
        self._heard_unix_s.pop(of, None)
        self.pulses.drop(of)

    def beat(self, of: int, number: int, source: str = '') -> bool:
        """Take in a pulse; False when it is not a later one."""
        known = self.pulses.find(of)
        if known is not None and known.number >= number:
            return False
        self.pulses.put(of, members_pb2.Pulse(of=of, number=number), source)
        self._heard_unix_s[of] = self._clock.now_s()
        return True

    def merge(self, pulses: Iterable[members_pb2.Pulse], source: str) -> None:
        """Take in pulses of known names from a peer; of others they would stay for good."""
        for pulse in pulses:
            if pulse.of in self._heard_unix_s:
                self.beat(pulse.of, pulse.number, source)

    @property
    def pulse_s(self) -> float:
        """Seconds between two pulses of one router."""
        rate = self._settings.pulse_bytes_per_s
        return max(self._settings.beat_s, self.routers * _PULSE_BYTES / rate)

    def of_router(self, router: str) -> str:
        """Return the state that the silence of a router of the own data centre means."""
        return self._judge(records.name_hash(router), self.pulse_s + self._passing_s())

    def of_data_centre(self, data_centre: str) -> str:
        """Return the state that the silence of another data centre means."""
        # A collector that died is replaced after ``gone_s``; that is no silence.
        slack_s = self._settings.gone_s + self._settings.exchange_s + self._passing_s()
        return self._judge(records.data_centre_hash(data_centre), slack_s)

    def after(self, silent_s: float, slack_s: float) -> str:
        """Return the state that a silence means."""
        if silent_s > self._settings.gone_s + slack_s:
            return records.GONE
        if silent_s > self._settings.suspect_s + slack_s:
            return records.SUSPECT
        return records.LIVE

    def _judge(self, of: int, slack_s: float) -> str:
        heard_unix_s = self._heard_unix_s.get(of)
        if heard_unix_s is None:
            return records.LIVE
        return self.after(self._clock.now_s() - heard_unix_s, slack_s)

    def _passing_s(self) -> float:
        depth = math.log(self.routers + 1, max(2, self._settings.fan_out))
        return 2 * math.ceil(depth) * self._settings.beat_s
