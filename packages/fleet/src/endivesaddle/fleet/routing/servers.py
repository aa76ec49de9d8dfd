"""The state of one backend server as one router sees it.

A load report is delayed, and other routers send to the same server.  The report is therefore used
only for the requests of the others: the reported requests less those that this router had there at
the time of the report.  Its own requests are always known.
"""

import dataclasses
import math
from collections import deque
from typing import Any

import xxhash

from endivesaddle.fleet.configuration import BackendServer
from endivesaddle.fleet.routing.health import Health
from endivesaddle.fleet.routing.settings import RoutingSettings
from endivesaddle.wire import members_pb2, runs_pb2

MAX_ENDED = 256
"""Ended requests kept to compute how many this router had there at the time of a report."""
LEARNING_RATE = 0.1
"""Weight of the latest measurement in a moving average."""
MIN_MEASURED_TOKENS = 256
"""Minimum of uncached prompt tokens for a measurement of the prefill speed."""
MAX_BACKLOG_S = 0.3
"""A server with more prefill of this router's prompts outstanding gets no more requests."""
REFUSED_WITHIN_S = 0.1
REPORT_DECAY_S = 1.0
"""After this long a report's difference from the mean has decayed to about a third."""
OVERDUE_S = 2.0
OVERDUE_FACTOR = 4
"""A first token is overdue after this multiple of its expected time, at least ``OVERDUE_S``."""
RING_POINTS = 16
"""Points per server on the hash ring; more points distribute the prefixes more evenly."""
MIN_PREFILL_FACTOR = 0.05
MAX_PREFILL_FACTOR = 20


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request of this router on a server.

    ``tokens`` are the uncached tokens of its prompt, ``backlog_tokens`` those that were in prefill
    before it.
    """

    sent_unix_s: float
    expected_unix_s: float
    tokens: float
    backlog_tokens: float
    first_unix_s: float = 0


class Server:
    """One backend server with a live sidecar, as this router sees it."""

    def __init__(self, declared: BackendServer, settings: RoutingSettings) -> None:
        """Initialize without a load report."""
        self.declared = declared
        self.points = tuple(
            xxhash.xxh3_64_intdigest(f'{declared.name}/{point}'.encode())
            for point in range(RING_POINTS)
        )
        self.member = members_pb2.Member()
        self.load: runs_pb2.Load | None = None
        self.health = Health(settings)
        self.outstanding: dict[str, SentRequest] = {}
        self.prefilling: dict[str, SentRequest] = {}
        self.prefilling_tokens = 0.0
        self.others = 0.0
        self.reported_others = 0.0
        self.reported_unix_s = 0.0
        self.pace = 1.0
        self.holding_s = settings.routing_holding_s
        self.prefill_s_per_token = 1 / settings.routing_prefill_tokens_per_s
        self._ended: deque[tuple[float, float]] = deque(maxlen=MAX_ENDED)

    @property
    def name(self) -> str:
        """The name from its declaration."""
        return self.declared.name

    def update_member(self, member: members_pb2.Member) -> None:
        """Set the address and state of its sidecar."""
        self.member = members_pb2.Member()
        self.member.CopyFrom(member)

    def occupied(self) -> float:
        """Return the number of its requests: this router's, and an estimate for the others."""
        return len(self.outstanding) + self.others

    def wait_s(self) -> float:
        """Return the expected wait for a slot in seconds."""
        excess = self.occupied() + 1 - self.declared.slots
        return max(0, excess) * self.holding_s / self.declared.slots

    def report(self, load: runs_pb2.Load) -> None:
        """Apply a load report: requests beyond this router's own belong to others."""
        self.load = load
        own = self._own_at(load.at_unix_s)
        self.reported_others = max(0, load.running + load.waiting - own)
        self.reported_unix_s = load.at_unix_s
        self.others = self.reported_others

    def has_room(self) -> bool:
        """Return whether a slot is expected to be free and the prefill backlog is short.

        A request that waits behind long prompts on the engine can't be moved; one that waits in
        the router can still be reordered or sent to another server.
        """
        if self.prefilling_tokens * self.prefill_s_per_token > MAX_BACKLOG_S:
            return False
        return self.occupied() < self.declared.slots

    def healthy(self, now_unix_s: float) -> bool:
        """Return whether the server has no failures, no overdue response and is not suspected."""
        if self.member.state == 'suspect':
            return False
        return self.health.open(now_unix_s) and not self.overdue(now_unix_s)

    def overdue(self, now_unix_s: float) -> bool:
        """Return whether a request has waited far longer than expected for its first token.

        Failure: the server hangs without refusing requests.  Symptom: requests accumulate there
        until their timeouts, because none fails.  The oldest request reveals this within seconds,
        and its response, if it comes, clears the state.
        """
        oldest = next(iter(self.prefilling.values()), None)
        if oldest is None:
            return False
        expected_s = oldest.expected_unix_s - oldest.sent_unix_s
        allowed_s = max(OVERDUE_S, OVERDUE_FACTOR * expected_s)
        return now_unix_s > oldest.sent_unix_s + allowed_s

    def decay_report(self, mean_others: float, now_unix_s: float) -> None:
        """Let the reported load of the others decay to the mean of all servers.

        Failure: a report shows a server empty, every router sends there until the next report, and
        it becomes the fullest.  The load of the others on one server is soon outdated, while their
        mean over all servers stays valid for longer.
        """
        age_s = max(0, now_unix_s - self.reported_unix_s)
        remaining = math.exp(-age_s / REPORT_DECAY_S)
        self.others = mean_others + (self.reported_others - mean_others) * remaining

    def sent(self, key: str, sent: SentRequest) -> None:
        """Record that a request is sent now."""
        self.outstanding[key] = sent
        self.prefilling[key] = sent
        self.prefilling_tokens += sent.tokens

    def first_token(self, key: str, now_unix_s: float) -> None:
        """Record the first token of a request, and update the prefill speed."""
        sent = self.prefilling.pop(key, None)
        if sent is None:
            return
        sent.first_unix_s = now_unix_s
        self.prefilling_tokens -= sent.tokens
        ahead = sent.tokens + sent.backlog_tokens
        if ahead >= MIN_MEASURED_TOKENS:
            self._learn_prefill((now_unix_s - sent.sent_unix_s) / ahead)

    def ended(self, key: str, now_unix_s: float) -> SentRequest | None:
        """Remove a request that has ended and return it, None if it is unknown."""
        waiting = self.prefilling.pop(key, None)
        if waiting is not None:
            self.prefilling_tokens -= waiting.tokens
        sent = self.outstanding.pop(key, None)
        if sent is not None:
            self._ended.append((sent.sent_unix_s, now_unix_s))
        return sent

    def mark_full(self, sent: SentRequest, now_unix_s: float) -> None:
        """Treat a run that ended at once without a token as a report that the server is full.

        It decays like a report.  A run that the caller cancels takes longer.
        """
        if now_unix_s - sent.sent_unix_s < REFUSED_WITHIN_S:
            left = self.declared.slots - len(self.outstanding)
            self.reported_others = max(self.reported_others, left)
            self.others = self.reported_others
            self.reported_unix_s = now_unix_s

    def learn(self, held_s: float, pace: float) -> None:
        """Update the time that a request holds a slot, and the pace relative to other servers."""
        self.holding_s += LEARNING_RATE * (held_s - self.holding_s)
        self.pace += LEARNING_RATE * (pace - self.pace)

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        return {
            'sidecar': self.member.address,
            'own': len(self.outstanding),
            'others': round(self.others, 1),
            'slots': self.declared.slots,
            'pace': round(self.pace, 2),
            'holding_s': round(self.holding_s, 3),
            'prefill_s_per_token': self.prefill_s_per_token,
            'aside_until_unix_s': self.health.aside_until_unix_s,
            'state': self.member.state,
        }

    def _learn_prefill(self, s_per_token: float) -> None:
        low = MIN_PREFILL_FACTOR * self.prefill_s_per_token
        high = MAX_PREFILL_FACTOR * self.prefill_s_per_token
        bounded = min(high, max(low, s_per_token))
        self.prefill_s_per_token += LEARNING_RATE * (bounded - self.prefill_s_per_token)

    def _own_at(self, at_unix_s: float) -> int:
        there = sum(sent.sent_unix_s <= at_unix_s for sent in self.outstanding.values())
        return there + sum(began <= at_unix_s < end for began, end in self._ended)
