"""The refusals of routing; each means that this request ran nowhere and won't."""

from random import Random

from endivesaddle.fleet.interfaces import RoutingRequest
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal

UNAVAILABLE = 503
TOO_MANY = 429
LEAST_RETRY_AFTER_S = 1.0
MOST_RETRY_AFTER_S = 30.0
JITTER = 0.5
"""Share by which advice varies, so that those refused together don't return together."""


def no_server(routing_request: RoutingRequest, random: Random) -> Refusal:
    """Refuse because no backend server is live for what is wanted."""
    name = routing_request.service or routing_request.model
    return Refusal(
        code='no_backend_server',
        reason=f'no backend server for {name!r} is live',
        not_run=NOT_RUN,
        status=UNAVAILABLE,
        retry_after_s=_advice(LEAST_RETRY_AFTER_S, random),
    )


def deadline(reason: str) -> Refusal:
    """Refuse what would be late even on an idle server: to try again would not help."""
    return Refusal(code='deadline', reason=reason, not_run=NOT_RUN, status=UNAVAILABLE)


def overloaded(reason: str, wait_s: float, random: Random) -> Refusal:
    """Refuse because there is no room in time; ``wait_s`` until there may be."""
    return Refusal(
        code='overloaded',
        reason=reason,
        not_run=NOT_RUN,
        status=UNAVAILABLE,
        retry_after_s=_advice(wait_s, random),
    )


def too_many(account: str, wait_s: float, random: Random) -> Refusal:
    """Refuse because the account has as many requests waiting as it may."""
    refusal = overloaded(f'account {account!r} has too many requests waiting', wait_s, random)
    return refusal._replace(status=TOO_MANY)


def _advice(wait_s: float, random: Random) -> float:
    bounded_s = min(MOST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, wait_s))
    return round(bounded_s * (1 + JITTER * random.random()), 1)
