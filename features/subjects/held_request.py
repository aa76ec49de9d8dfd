"""Subject: records of a request that ended servers, and those of another instance."""

import itertools

from endivesaddle.fleet.routes import crash_words
from endivesaddle.fleet.routing.crash_records import CrashRecords
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.wire.routers_pb2 import CrashWord

REQUEST = 'request'


class HeldRequest:
    """Two instances' records; time is what the scenario says."""

    def __init__(self, ends: int) -> None:
        """Have servers end under the request."""
        self.now_unix_s = 1_700_000_000.0
        self.records = CrashRecords(ForwardSettings())
        self._other = CrashRecords(ForwardSettings())
        self._lives = itertools.count()
        for _ in range(ends):
            self.end()

    def end(self, digest: str = REQUEST) -> None:
        """Have one more server end under a request."""
        self.records.ended(digest, f'life-{next(self._lives)}', self.now_unix_s)

    def held_s(self) -> float:
        """Return for how long the request is held back."""
        return self.records.held_s(REQUEST, self.now_unix_s)

    def held_elsewhere_s(self) -> float:
        """Return for how long the other instance holds it back."""
        return self._other.held_s(REQUEST, self.now_unix_s)

    def answer_elsewhere(self) -> None:
        """Tell the other instance twice, and have the request answered there."""
        self._early = self._words(self.records)
        self._tell(self._early, self._other)
        self._tell(self._early, self._other)
        assert self.held_elsewhere_s()
        self._other.answered(REQUEST, self.now_unix_s)

    def tell_all_again(self) -> None:
        """Tell what was known before the answer once more, and then all, both ways."""
        self._tell(self._early, self._other)
        self._tell(self._words(self._other), self.records)
        self._tell(self._words(self.records), self._other)

    def _words(self, records: CrashRecords) -> list[CrashWord]:
        words, _ = crash_words.words_since(records, 0, self.now_unix_s)
        return words

    def _tell(self, words: list[CrashWord], records: CrashRecords) -> None:
        for word in words:
            crash_words.hear(records, word, self.now_unix_s, 'test')
