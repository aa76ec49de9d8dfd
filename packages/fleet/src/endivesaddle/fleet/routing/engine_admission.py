"""What all routers have under way at one engine, counted by the sidecar beside it.

Load pattern: many routers, each with few requests.  They hear of each other once in a while,
and until then all take the engine that was idle last; one that reads a prompt of 30,000 tokens
got eight more within a second.  Asked for each prompt, the sidecar knows what came just before.
"""

from typing import NamedTuple

READ_S = 2.0
"""Prompts that a router told of so long ago are read, or the router is gone."""
STALE_S = 6.5
"""What a router has under way is forgotten when it was not heard for so long: it tells each
3 s while it has anything there."""


class Load(NamedTuple):
    """Prompt tokens to be read at an engine, and requests under way there."""

    reading_tokens: int
    in_flight: int


class LoadReport(NamedTuple):
    """One router's word: ``number`` grows within the router's life."""

    lifetime: str
    number: int
    load: Load


class _Heard(NamedTuple):
    """A router's newest word, and until when its prompts and its requests count."""

    word: LoadReport
    reading_until_unix_s: float
    until_unix_s: float


class EngineAdmission:
    """The counts of one engine: decisions only, no input or output."""

    def __init__(self) -> None:
        """Start without routers."""
        self._heard: dict[str, _Heard] = {}

    def report(self, word: LoadReport, now_unix_s: float) -> None:
        """Take in what a router has under way; an older word changes nothing."""
        heard = self._heard.get(word.lifetime)
        if heard is None or heard.word.number < word.number:
            self._heard[word.lifetime] = _Heard(word, now_unix_s + READ_S, now_unix_s + STALE_S)

    def others(self, lifetime: str, now_unix_s: float) -> Load:
        """Return what all routers but one have under way."""
        self._heard = {
            name: heard for name, heard in self._heard.items() if heard.until_unix_s > now_unix_s
        }
        others = [heard for name, heard in self._heard.items() if name != lifetime]
        reading = [heard for heard in others if heard.reading_until_unix_s > now_unix_s]
        return Load(
            sum(heard.word.load.reading_tokens for heard in reading),
            sum(heard.word.load.in_flight for heard in others),
        )

    def admit(
        self, word: LoadReport, asked_tokens: int, most_tokens: int, now_unix_s: float
    ) -> bool:
        """Take a prompt up, unless the others have more than ``most_tokens`` to be read."""
        taken_up = self.others(word.lifetime, now_unix_s).reading_tokens <= most_tokens
        if taken_up:
            load = Load(word.load.reading_tokens + asked_tokens, word.load.in_flight + 1)
            word = word._replace(load=load)
        self.report(word, now_unix_s)
        return taken_up
