"""What a router knows of each backend server that it forwards to: one lane each.

Decisions only, no input or output.  A lane counts what this router has under
way there, what of it is still being read, which prompt parts it sent there,
and how its answers fared; peers' counts are added as they tell them.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import NamedTuple

from endivesaddle.fleet.routes.declared import RouteServer, Service

FAILED_WEIGHT = 0.25
"""Weight of one answer in the share of failures: four failures in a row show as 0.68."""
FORGIVEN_S = 6.0
"""Half of a failure share is forgiven in this time, so that a mended server is tried again."""
FORGOTTEN_SHARE = 0.05
"""A smaller share of failures counts as none: an idle fleet would never try the server again."""
SILENT_S = 1.0
"""A server that refused a connection or fell silent gets nothing for this long, then one try."""
LONGEST_SILENT_S = 4.0
PARTS_S = 20.0
"""Prompt parts sent longer ago than this are taken as evicted: an engine under load keeps for so
long what nobody asks for."""
HEARD_S = 0.3
"""The word of the sidecar beside a server counts for so long: the other routers' are as old."""
SENDING_S = 1.0
"""Sendings are counted over this time: what a cold server bears is told by the second."""
MOST_PARTS = 4000
"""Parts remembered for one server."""


class ForwardWant(NamedTuple):
    """What a forwarded request asks of a server.

    ``parts`` are (id, tokens) of the prompt in order, the last one its own.
    """

    key: str
    service: str
    parts: tuple[tuple[str, int], ...] = ()
    prompt_tokens: int = 0
    max_tokens: int = 0
    priority: int = 5

    @property
    def shared_part(self) -> str:
        """Return the id of the last part that other requests may share."""
        return self.parts[-2][0] if len(self.parts) > 1 else ''


class Backend:
    """One server as this router met it."""

    def __init__(self, server: RouteServer) -> None:
        """Start with nothing sent.

        ``own_reading_tokens`` are those that this router sent and that are not known to be read.
        """
        self.server = server
        self.reading: dict[str, int] = {}
        self.running: dict[str, int] = {}
        self.elsewhere = 0
        self.elsewhere_reading = 0
        self.asking_tokens = 0
        self.asking = 0
        self.heard_unix_s = 0.0
        self.silent_until_unix_s = 0.0
        self.unwanted_until_unix_s = 0.0
        self._silences = 0
        self.own_reading_tokens = 0
        self._parts: OrderedDict[str, float] = OrderedDict()
        self._failed_share = 0.0
        self._failed_unix_s = 0.0
        self._sendings: deque[float] = deque()
        self._may_be_cold = False
        self._back_unix_s = 0.0

    @property
    def own_in_flight(self) -> int:
        """Requests of this router."""
        return len(self.reading) + len(self.running)

    @property
    def in_flight(self) -> int:
        """Requests of this router and, as last told, of the others."""
        return self.own_in_flight + self.elsewhere

    @property
    def reading_tokens(self) -> int:
        """Prompt tokens on the way to be read, of all routers as last told."""
        return self.own_reading_tokens + self.elsewhere_reading

    def heard(self, requests: int, tokens: int, now_unix_s: float) -> None:
        """Take in what the sidecar beside the server says that other routers have there."""
        self.elsewhere = requests
        self.elsewhere_reading = tokens
        self.heard_unix_s = now_unix_s

    def unread(self, want: ForwardWant, now_unix_s: float) -> int:
        """Return the tokens of a prompt that the server has to read."""
        unread = want.prompt_tokens
        for part, tokens in want.parts:
            sent_unix_s = self._parts.get(part)
            if sent_unix_s is None or now_unix_s - sent_unix_s > PARTS_S:
                break
            unread -= tokens
        return max(0, unread)

    def holds(self, part: str, now_unix_s: float) -> bool:
        """Tell whether a part was sent there lately."""
        sent_unix_s = self._parts.get(part)
        return sent_unix_s is not None and now_unix_s - sent_unix_s <= PARTS_S

    def sent(self, want: ForwardWant, now_unix_s: float) -> None:
        """Note that a request goes there now."""
        self._read(want)
        self.reading[want.key] = self.unread(want, now_unix_s)
        self.own_reading_tokens += self.reading[want.key]
        self.hold([part for part, _ in want.parts], now_unix_s)

    def hold(self, parts: Iterable[str], now_unix_s: float) -> None:
        """Note that parts of prompts went there now, from here or from another router."""
        for part in parts:
            self._parts[part] = now_unix_s
            self._parts.move_to_end(part)
        while len(self._parts) > MOST_PARTS:
            self._parts.popitem(last=False)

    def began(self, want: ForwardWant) -> None:
        """Note the first event of an answer: its prompt is read."""
        if self._read(want):
            self.running[want.key] = want.prompt_tokens

    def ended(self, want: ForwardWant) -> None:
        """Note that nothing of a request is under way there any more."""
        self._read(want)
        self.running.pop(want.key, None)

    def fared(self, well: bool, now_unix_s: float) -> None:
        """Note whether an answer was sound."""
        if well:
            self._silences = 0
            self._back(now_unix_s)
        self._failed_share = self.failed_share(now_unix_s)
        self._failed_share *= 1 - FAILED_WEIGHT
        if not well:
            self._failed_share += FAILED_WEIGHT
        self._failed_unix_s = now_unix_s

    def silent(self, now_unix_s: float, ended: bool = False) -> None:
        """Note that the server could not be reached: nothing goes there for a while.

        With ``ended`` its process is gone: it may start again under its name, as others do whose
        entries tell when they were born, and is cold then before its entry says so.
        """
        self._may_be_cold = ended or bool(self.server.born_unix_ms)
        pause_s = min(LONGEST_SILENT_S, SILENT_S * 2**self._silences)
        self._silences += 1
        self.silent_until_unix_s = now_unix_s + pause_s
        self.fared(well=False, now_unix_s=now_unix_s)

    def cold_until_unix_s(self, cold_s: float, now_unix_s: float) -> float:
        """Return until when the server may be cold after it was silent, by what this router met."""
        if self._may_be_cold:
            return now_unix_s + cold_s
        return self._back_unix_s + cold_s if self._back_unix_s else 0.0

    def count_sending(self, now_unix_s: float) -> None:
        """Count a request that goes there now; older ones than a second are forgotten."""
        self._sendings.append(now_unix_s)
        self.sent_lately(now_unix_s)

    def sent_lately(self, now_unix_s: float) -> int:
        """Return how many requests went there within the last second."""
        while self._sendings and self._sendings[0] <= now_unix_s - SENDING_S:
            self._sendings.popleft()
        return len(self._sendings)

    def sending_free_unix_s(self, now_unix_s: float) -> float:
        """Return when the oldest of them counts no more."""
        if not self.sent_lately(now_unix_s):
            return now_unix_s
        return self._sendings[0] + SENDING_S

    def wanted(self, now_unix_s: float) -> bool:
        """Tell whether the server takes requests of this router, as far as it said."""
        return self.unwanted_until_unix_s <= now_unix_s

    def failed_share(self, now_unix_s: float) -> float:
        """Return the share of failures, old ones forgiven by halves."""
        if not self._failed_share:
            return 0.0
        passed_s = max(0.0, now_unix_s - self._failed_unix_s)
        share = self._failed_share * 0.5 ** (passed_s / FORGIVEN_S)
        return 0.0 if share < FORGOTTEN_SHARE else share

    def _back(self, now_unix_s: float) -> None:
        if self._may_be_cold:
            self._may_be_cold = False
            self._back_unix_s = now_unix_s

    def _read(self, want: ForwardWant) -> bool:
        """Take a prompt off those that are being read; True if it was one of them."""
        tokens = self.reading.pop(want.key, None)
        self.own_reading_tokens -= tokens or 0
        return tokens is not None


class Backends:
    """The lanes of all known servers."""

    def __init__(self) -> None:
        """Start without any."""
        self._backends: dict[str, Backend] = {}

    def of(self, server: RouteServer) -> Backend:
        """Return the lane of a server."""
        backend = self._backends.get(server.lifetime)
        if backend is None or backend.server.born_unix_ms != server.born_unix_ms:
            # Started again, a server keeps nothing of before: no parts, no work, no failures.
            backend = Backend(server)
            self._backends[server.lifetime] = backend
        backend.server = server
        return backend

    def find(self, lifetime: str) -> Backend | None:
        """Return the lane of a server that was met or listed, if any."""
        return self._backends.get(lifetime)

    def drop_all_but(self, lifetimes: set[str], now_unix_s: float) -> None:
        """Forget servers that are gone and have nothing under way.

        Not one that wants nothing for a while: its entry may be back before that is over, and
        without the lane it would get requests at once.
        """
        for lifetime in set(self._backends) - lifetimes:
            backend = self._backends[lifetime]
            if not backend.own_in_flight and backend.wanted(now_unix_s):
                del self._backends[lifetime]

    def told(self, loads: dict[str, tuple[int, int]], now_unix_s: float) -> None:
        """Take in what other routers have at each server: requests, and tokens to read.

        What the sidecar beside a server said just now is better than their words.
        """
        for lifetime, backend in self._backends.items():
            if now_unix_s - backend.heard_unix_s < HEARD_S:
                continue
            requests, tokens = loads.get(lifetime, (0, 0))
            backend.elsewhere = requests
            backend.elsewhere_reading = tokens

    def all(self) -> tuple[Backend, ...]:
        """Return every lane."""
        return tuple(self._backends.values())


def is_engine(service: Service | None) -> bool:
    """Tell whether a service's servers are model engines."""
    return service is not None and service.engine
