"""Decide whether an overloaded router may leave the balancer's rotation.

Load pattern: routers of one data centre are overloaded, one or all of them.  All decide for
themselves by the same order, so that at most a quarter is out and no vote is needed.

Failure: reports are lost, or two routers become overloaded at one moment, and more than a quarter
leave.  A router therefore leaves only after it has heard every other one since it announced that
it is overloaded; one that it has not heard counts as out.

Failure: the link of a router that has closed is so full that it hears nobody any more, and it stays
in the rotation.  It therefore announces itself while it is shedding, half a second earlier, and
once it is out, missing reports don't bring it back: the others count it as out.
"""

from collections.abc import Sequence
from typing import NamedTuple

from endivesaddle.fleet.overload.level import Level
from endivesaddle.fleet.routing.rendezvous import weight

FRESH_S = 1.5
"""Reports are usually exchanged every 0.25 to 0.6 s, so a live router is heard within this."""
ANNOUNCED_S = 0.3
"""A report arrives within this of the state that it gives, also where it passes an aggregator."""
SHARE_OUT = 4
"""One router of so many may be out: the others' load grows by at most a third."""
LEAST_ROUTERS = 3
"""With fewer routers none may be out, as the last ones would get all requests."""


REMOVED_PROBES = 2
"""The balancer removes a router after so many failed probes, one a second."""
REMOVED_S = 2.5
"""Time after which a router counts as removed, also if it wasn't probed here."""


class RouterReport(NamedTuple):
    """What a router last reported; ``out`` if it fails its readiness checks or is stopping."""

    incarnation: str
    level: Level
    pressure: int
    out: bool
    heard_unix_s: float


class Verdict(NamedTuple):
    """Whether a router may be out, and the numbers that decided it."""

    allowed: bool
    heard: int
    unheard: int
    ahead: int
    slots: int


class Others(NamedTuple):
    """All other live routers of the data centre, and from when on a report counts as recent."""

    reports: Sequence[RouterReport]
    recent_unix_s: float


def judge(own: RouterReport, known: Others, announced_unix_s: float) -> Verdict:
    """Tell whether a router that announced its overload at ``announced_unix_s`` may be out."""
    heard_after, others = known.recent_unix_s, known.reports
    fresh = [one for one in others if one.heard_unix_s >= heard_after]
    if not own.out:
        heard_after = max(heard_after, announced_unix_s + ANNOUNCED_S)
    heard = [one for one in others if one.heard_unix_s >= heard_after]
    unheard = len(others) - len(heard)
    if own.out:
        # The others count this router as out, whatever it hears.
        unheard = 0
    rank = _rank(own)
    ahead = sum(1 for one in heard if _contends(one) and _rank(one) > rank)
    counted = others if own.out else fresh
    routers = len(counted) + 1
    slots = max(1, routers // SHARE_OUT) if routers >= LEAST_ROUTERS else 0
    return Verdict(unheard + ahead < slots, len(heard), unheard, ahead, slots)


def _contends(report: RouterReport) -> bool:
    return report.out or report.level is not Level.NORMAL


def _rank(report: RouterReport) -> tuple[bool, int, bytes]:
    # Those that are out come first: otherwise, two would be out while one replaces the other.
    return report.out, report.pressure, weight('overload', report.incarnation)


class RotationDecision:
    """Whether one router is out of the rotation."""

    def __init__(self) -> None:
        """Initialize as in the rotation."""
        self.out = False
        self.kept_logged = False
        self.announced_unix_s: float | None = None
        self.pressure = 0
        self.verdict = Verdict(False, 0, 0, 0, 0)
        self._out_unix_s = 0.0
        self._failed_probes = 0

    def probed(self) -> None:
        """Count a readiness check that this router failed by being out."""
        self._failed_probes += self.out

    def removed(self, now_unix_s: float) -> bool:
        """Tell whether the balancer gives new connections to others only.

        Until then, a caller whose connection is closed would come back.
        """
        waited = now_unix_s - self._out_unix_s >= REMOVED_S
        return self.out and (waited or self._failed_probes >= REMOVED_PROBES)

    def update(self, own: RouterReport, others: Others, now_unix_s: float) -> bool:
        """Return whether the router is out now; ``own`` has its current level and pressure."""
        if own.level is Level.NORMAL:
            self.announced_unix_s = None
            self.out = False
            return False
        if self.announced_unix_s is None:
            # Kept while it is overloaded: with changing pressures, two routers would each see
            # themselves as the one with the highest.
            self.pressure = own.pressure
            self.announced_unix_s = now_unix_s
        if own.level is not Level.CLOSED:
            self.out = False
            return False
        claim = own._replace(pressure=self.pressure, out=self.out)
        self.verdict = judge(claim, others, self.announced_unix_s)
        if self.out and not self.verdict.allowed:
            # To leave again it has to announce itself again.
            self.announced_unix_s = now_unix_s
        if self.verdict.allowed and not self.out:
            self._out_unix_s = now_unix_s
            self._failed_probes = 0
        self.out = self.verdict.allowed
        return self.out
