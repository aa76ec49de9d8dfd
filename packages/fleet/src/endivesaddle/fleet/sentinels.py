"""Sentinel values with a reason, returned instead of a regular result.

They are expected outcomes that a caller has to handle, so they are return values;
exceptions are reserved for failed connections and programming errors.
"""

from typing import NamedTuple


class Absent(NamedTuple):
    """The requested value doesn't exist, with the reason."""

    reason: str


class Conflict(NamedTuple):
    """A compare-and-swap failed because another write came first.

    ``value`` is the current value, or None if the store doesn't return it.
    """

    reason: str
    version: int
    value: bytes | None = None


class Refusal(NamedTuple):
    """The refusal of a request.

    ``code`` is stable and listed in docs/REFUSALS.md.  ``not_run`` is "true", "false" or
    "unknown" and applies to the request as a whole: "true" only if no backend server has
    received it or will receive it.  ``retry_after_s`` is 0 if there is no recommendation.
    """

    code: str
    reason: str
    not_run: str
    status: int
    retry_after_s: float = 0


class NotHolder(NamedTuple):
    """This instance doesn't hold the shard; ``holder`` probably does ('' if unknown)."""

    reason: str
    holder: str


NOT_RUN = 'true'
"""The request did not run anywhere and will not run."""
HAS_RUN = 'false'
"""The request ran, or may still be running."""
RUN_UNKNOWN = 'unknown'
"""It is unknown whether the request ran."""
