"""Records of requests that end servers, as instances tell them to each other."""

from endivesaddle.fleet.routing.crash_records import CrashRecord, CrashRecords
from endivesaddle.wire.routers_pb2 import CrashWord

MOST_TOLD = 64
"""Records in one word, some 4 KB: what ran at one server when it ended. The rest goes with the
next word."""


class Told:
    """How far one reader has been told; its next life is told all anew."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self._lifetime = ''
        self._number = 0

    def words(self, records: CrashRecords, now_unix_s: float) -> tuple[list[CrashWord], int]:
        """Return what the reader lacks, and the number up to which it is told by that."""
        return words_since(records, self._number, now_unix_s)

    def arrived(self, lifetime: str, number: int) -> None:
        """Note that the reader, in this life, took in what was told."""
        # Another life answered than was told before: it lacks all that came earlier.
        self._number = number if lifetime == self._lifetime or not self._number else 0
        self._lifetime = lifetime


def words_since(
    records: CrashRecords, number: int, now_unix_s: float
) -> tuple[list[CrashWord], int]:
    """Return records that changed after a number, and the number up to which these are all."""
    changed = records.since(number, MOST_TOLD)
    return [_word(one, now_unix_s) for one in changed], changed[-1].number if changed else number


def hear(records: CrashRecords, word: CrashWord, now_unix_s: float, source: str) -> None:
    """Take in another instance's word."""
    told = CrashRecord(
        word.digest,
        frozenset(word.ended),
        frozenset(word.answered),
        now_unix_s + max(0.0, word.held_s),
    )
    records.hear(told, now_unix_s, source)


def _word(record: CrashRecord, now_unix_s: float) -> CrashWord:
    return CrashWord(
        digest=record.digest,
        ended=sorted(record.ended),
        answered=sorted(record.answered),
        held_s=max(0.0, record.held_until_unix_s - now_unix_s),
    )
