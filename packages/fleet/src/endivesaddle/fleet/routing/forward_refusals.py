"""Refusals of forwarded requests that did not run, with a Retry-After that spreads the callers."""

from random import Random

from endivesaddle.fleet.routing.candidates import NoServer
from endivesaddle.fleet.routing.crash_blame import is_part
from endivesaddle.fleet.routing.crash_records import HeldBack
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal

UNAVAILABLE = 503
RETRY_AFTER_S = 0.4
"""Callers of full or unknown servers are told to retry after this long, plus jitter."""
JITTER = 0.5


def overloaded(reason: str, random: Random) -> Refusal:
    """Refuse because of load, or because servers can't be reached."""
    retry_after_s = RETRY_AFTER_S * (1 + JITTER * random.random())
    return Refusal('overloaded', reason, NOT_RUN, UNAVAILABLE, round(retry_after_s, 2))


def no_server(found: NoServer, random: Random) -> Refusal:
    """Refuse because no server may get the request, with the wait until one may."""
    if found.version_gone:
        return Refusal('stream_version_gone', found.reason, NOT_RUN, UNAVAILABLE)
    refusal = overloaded(found.reason, random)
    if not found.wait_s:
        return refusal
    retry_after_s = max(found.wait_s, RETRY_AFTER_S) + RETRY_AFTER_S * JITTER * random.random()
    return refusal._replace(retry_after_s=round(retry_after_s, 2))


def held_back(held: HeldBack) -> Refusal:
    """Refuse because the request, or a part of its prompt, crashed too many servers."""
    reason = 'servers ended each time that they ran this request'
    if is_part(held.subject):
        reason = 'servers ended each time that they answered a prompt with one part of this one'
    return Refusal('ends_servers', reason, NOT_RUN, UNAVAILABLE, round(held.held_s, 2))
