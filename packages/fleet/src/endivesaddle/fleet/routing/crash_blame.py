"""What is to blame for crashes of servers: a whole request, or one shared part of prompts.

Load pattern: each request that has something in common with others, such as one part of its prompt,
crashes the server that answers it, along with all requests running there; these share other parts
with it.  Evidence against a subject is a crash under a request that has it, evidence for it an
answer that began after that crash.  Of several subjects that the same crashes speak against, one
explains them.  Without I/O.
"""

from collections.abc import Iterable
from typing import NamedTuple

PART_PREFIX = 'part:'
MAX_NAME = 100
"""Longest readable name of a part; longer ones are hashed, since names are keys of the store."""
MIN_INCIDENTS = 2
"""Servers that end simultaneously may have another cause, such as a loss of power."""
MIN_REQUESTS = 2
"""Different requests under which servers crashed before one of their parts can be to blame."""


class EndedRun(NamedTuple):
    """When a request started on a server that crashed, and when its connection broke."""

    began_unix_s: float
    broke_unix_s: float

    def merged(self, other: 'EndedRun') -> 'EndedRun':
        """Return the period of both, for several runs on one server."""
        began_unix_s = min(self.began_unix_s, other.began_unix_s)
        return EndedRun(began_unix_s, max(self.broke_unix_s, other.broke_unix_s))


class Suspect(NamedTuple):
    """A subject, and the crashes since it was last answered.

    ``requests`` is the number of different requests with it that were lost in them, ``passed``
    whether it was answered at this instance before.
    """

    subject: str
    crashes: dict[str, EndedRun]
    requests: int
    passed: bool

    @property
    def rank(self) -> tuple[int, bool, bool, str]:
        """Its place among suspects: the one that explains most crashes comes first.

        Of those that explain the same, one that was never answered does, then a part of several
        requests rather than a request that was lost as often.
        """
        return -len(self.crashes), self.passed, not is_part(self.subject), self.subject


def is_part(subject: str) -> bool:
    """Return whether a subject is a part of prompts, not a whole request."""
    return subject.startswith(PART_PREFIX)


def incidents(runs: Iterable[EndedRun]) -> int:
    """Return the number of successive crashes, where each run began after the previous one broke.

    Servers that lose power together count as crashed by all of their requests.
    """
    count = 0
    last_unix_s = 0.0
    for run in sorted(runs, key=_broke):
        if run.began_unix_s >= last_unix_s:
            count += 1
            last_unix_s = run.broke_unix_s
    return count


def blamed(suspects: Iterable[Suspect], most: int) -> list[Suspect]:
    """Return the suspects that explain ``most`` crashes or more which none before them explains.

    Failure: a request, or a part of many prompts, that happened to run at three servers which
    another one crashed was held back for ten minutes.
    """
    found: list[Suspect] = []
    explained: set[str] = set()
    for suspect in sorted(suspects, key=_rank):
        if is_part(suspect.subject) and suspect.requests < MIN_REQUESTS:
            continue
        own = [run for server, run in suspect.crashes.items() if server not in explained]
        if len(own) >= most and incidents(own) >= min(most, MIN_INCIDENTS):
            found.append(suspect)
            explained.update(suspect.crashes)
    return found


def _broke(run: EndedRun) -> float:
    return run.broke_unix_s


def _rank(suspect: Suspect) -> tuple[int, bool, bool, str]:
    return suspect.rank
