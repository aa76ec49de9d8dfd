"""The prompt parts that a server has cached, as far as one router knows.

Without I/O.  A router knows the parts that it or another router sent there.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

PART_CACHED_S = 20.0
"""Prompt parts sent longer ago are considered evicted: an engine under load keeps an unused part
for about this long."""
PART_READY_S = 0.1
"""Other servers can fetch a part from this long after it was sent, or from the first event of a
response on: prefill of a shared part takes about 40 ms, and few prompts wait for more than one
other."""
MAX_PARTS = 4000
"""Prompt parts remembered per server."""

Parts = tuple[tuple[str, int], ...]
"""The (id, tokens) of a prompt's parts, in order."""


class CachedPrefix(NamedTuple):
    """The tokens that a server has from the start of a prompt, and when it last got the last."""

    tokens: int
    sent_unix_s: float


class _PartTimes(NamedTuple):
    """When a part was last sent, and from when on other servers can fetch it."""

    sent_unix_s: float
    ready_unix_s: float


class CachedParts:
    """The parts that were sent to one server."""

    def __init__(self) -> None:
        """Initialize with no parts."""
        self._times: OrderedDict[str, _PartTimes] = OrderedDict()

    def add(self, parts: Iterable[str], now_unix_s: float) -> None:
        """Record parts sent now."""
        for part in parts:
            ready_unix_s = now_unix_s + PART_READY_S
            if self.has(part, now_unix_s):
                ready_unix_s = min(ready_unix_s, self._times[part].ready_unix_s)
            self._times[part] = _PartTimes(now_unix_s, ready_unix_s)
            self._times.move_to_end(part)
        while len(self._times) > MAX_PARTS:
            self._times.popitem(last=False)

    def mark_ready(self, parts: Parts) -> None:
        """Record that the server has processed parts that were sent to it."""
        for part, _ in parts:
            times = self._times.get(part)
            if times is not None:
                self._times[part] = times._replace(ready_unix_s=times.sent_unix_s)

    def clear(self) -> None:
        """Record that the server has lost its parts."""
        self._times.clear()

    def has(self, part: str, now_unix_s: float) -> bool:
        """Return whether a part was sent recently enough to be cached."""
        times = self._times.get(part)
        return times is not None and now_unix_s - times.sent_unix_s <= PART_CACHED_S

    def cached_tokens(self, parts: Parts, now_unix_s: float) -> int:
        """Return the tokens that are cached from the start of a prompt."""
        cached = 0
        for part, tokens in parts:
            if not self.has(part, now_unix_s):
                break
            cached += tokens
        return cached

    def ready_prefix(self, parts: Parts, now_unix_s: float) -> CachedPrefix:
        """Return what other servers can fetch from the start of a prompt."""
        prefix = CachedPrefix(0, 0.0)
        for part, tokens in parts:
            times = self._times.get(part)
            if times is None or now_unix_s - times.sent_unix_s > PART_CACHED_S:
                break
            if times.ready_unix_s > now_unix_s:
                break
            prefix = CachedPrefix(prefix.tokens + tokens, times.sent_unix_s)
        return prefix
