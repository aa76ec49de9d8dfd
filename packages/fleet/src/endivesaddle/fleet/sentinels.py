"""Sentinel values with a reason, returned where an answer can't be given.

They are ordinary results that a caller must look at, so they are values and
not exceptions; exceptions are kept for broken links and broken programs.
"""

from typing import NamedTuple


class Absent(NamedTuple):
    """Nothing is there, and why."""

    reason: str


class Conflict(NamedTuple):
    """A compare-and-swap lost against another write.

    ``value`` is what lies there now, None where the store does not tell.
    """

    reason: str
    version: int
    value: bytes | None = None


class Refusal(NamedTuple):
    """A request that is turned away.

    ``code`` is stable and listed in docs/REFUSALS.md.  ``not_run`` is "true",
    "false" or "unknown" and speaks of the request as a whole: "true" only where
    no backend server got it nor will.  ``retry_after_s`` is 0 without advice.
    """

    code: str
    reason: str
    not_run: str
    status: int
    retry_after_s: float = 0


class NotHolder(NamedTuple):
    """This instance doesn't hold the shard; ``holder`` may ('' if not known)."""

    reason: str
    holder: str


NOT_RUN = 'true'
"""The request did not run anywhere, and won't."""
HAS_RUN = 'false'
"""The request ran, or may still be running."""
RUN_UNKNOWN = 'unknown'
"""Whether the request ran can't be told."""
