"""Refusals by routing; each means that the request did not run and will not run."""

from random import Random

from endivesaddle.fleet.interfaces import RoutingRequest
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal

UNAVAILABLE = 503
TOO_MANY = 429
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0
JITTER = 0.5
"""Maximum relative jitter, so that callers refused together don't retry together."""


def no_server(routing_request: RoutingRequest, random: Random) -> Refusal:
    """Refuse because no backend server is live for the model or service."""
    name = routing_request.service or routing_request.model
    return Refusal(
        code='no_backend_server',
        reason=f'no backend server for {name!r} is live',
        not_run=NOT_RUN,
        status=UNAVAILABLE,
        retry_after_s=_retry_after_s(MIN_RETRY_AFTER_S, random),
    )


def deadline(reason: str) -> Refusal:
    """Refuse a request that would be late even on an idle server; a retry would not help."""
    return Refusal(code='deadline', reason=reason, not_run=NOT_RUN, status=UNAVAILABLE)


def overloaded(reason: str, wait_s: float, random: Random) -> Refusal:
    """Refuse because no slot is free in time; one may be in ``wait_s`` seconds."""
    return Refusal(
        code='overloaded',
        reason=reason,
        not_run=NOT_RUN,
        status=UNAVAILABLE,
        retry_after_s=_retry_after_s(wait_s, random),
    )


def too_many(account: str, wait_s: float, random: Random) -> Refusal:
    """Refuse because the account has reached its limit of waiting requests."""
    refusal = overloaded(f'account {account!r} has too many requests waiting', wait_s, random)
    return refusal._replace(status=TOO_MANY)


def _retry_after_s(wait_s: float, random: Random) -> float:
    bounded_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return round(bounded_s * (1 + JITTER * random.random()), 1)
