"""The load of all routers on one engine, counted by the sidecar beside it.

Load pattern: many routers, each with few requests.  They exchange reports only now and then, and in
between all choose the engine that was idle last; an engine in prefill of a prompt of 30,000 tokens
got eight more within a second.  The sidecar is asked for each prompt and knows the latest load.
"""

from typing import NamedTuple

PREFILL_VALID_S = 2.0
"""Prompts reported longer ago are processed, or their router is gone."""
REPORT_VALID_S = 6.5
"""A router's report expires after this long: it reports every 3 s while it has requests on the
engine."""


class Load(NamedTuple):
    """Prompt tokens in prefill and requests in flight on an engine."""

    prefilling_tokens: int
    in_flight: int


class LoadReport(NamedTuple):
    """The load of one router; ``number`` grows within an incarnation of the router."""

    lifetime: str
    number: int
    load: Load


class _LatestReport(NamedTuple):
    """A router's latest report, and until when its tokens and its requests count."""

    report: LoadReport
    prefilling_until_unix_s: float
    until_unix_s: float


class EngineAdmission:
    """The load and the admission decisions of one engine, without I/O."""

    def __init__(self) -> None:
        """Initialize with no routers."""
        self._latest: dict[str, _LatestReport] = {}

    def report(self, report: LoadReport, now_unix_s: float) -> None:
        """Apply a router's report; ignore an outdated one."""
        latest = self._latest.get(report.lifetime)
        if latest is None or latest.report.number < report.number:
            self._latest[report.lifetime] = _LatestReport(
                report, now_unix_s + PREFILL_VALID_S, now_unix_s + REPORT_VALID_S
            )

    def others(self, lifetime: str, now_unix_s: float) -> Load:
        """Return the load of all routers but one."""
        self._latest = {
            name: latest
            for name, latest in self._latest.items()
            if latest.until_unix_s > now_unix_s
        }
        others = [latest for name, latest in self._latest.items() if name != lifetime]
        prefilling = [latest for latest in others if latest.prefilling_until_unix_s > now_unix_s]
        return Load(
            sum(latest.report.load.prefilling_tokens for latest in prefilling),
            sum(latest.report.load.in_flight for latest in others),
        )

    def admit(
        self, report: LoadReport, asked_tokens: int, most_tokens: int, now_unix_s: float
    ) -> bool:
        """Admit a prompt unless the other routers have over ``most_tokens`` in prefill."""
        admitted = self.others(report.lifetime, now_unix_s).prefilling_tokens <= most_tokens
        if admitted:
            load = Load(report.load.prefilling_tokens + asked_tokens, report.load.in_flight + 1)
            report = report._replace(load=load)
        self.report(report, now_unix_s)
        return admitted
