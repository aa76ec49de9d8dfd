"""All refusals that can end a request; docs/REQUESTS.md lists them.

``not_run`` must never claim too much: it is "true" only if no backend server has received
the request or ever will. Codes are stable.
"""

from http import HTTPStatus
from typing import NamedTuple

from endivesaddle.fleet.sentinels import HAS_RUN, NOT_RUN, RUN_UNKNOWN, Refusal
from endivesaddle.wire import holders_pb2


class Kind(NamedTuple):
    """A kind of refusal: its stable code, HTTP status, text and time to retry after."""

    code: str
    status: int
    reason: str
    retry_after_s: float = 0

    def refuse(self, not_run: str, detail: str = '') -> Refusal:
        """Return the refusal, with ``detail`` appended to its text."""
        reason = f'{self.reason}: {detail}' if detail else self.reason
        return Refusal(self.code, reason, not_run, self.status, self.retry_after_s)


IDEMPOTENCY_CONFLICT = Kind(
    'idempotency_conflict',
    HTTPStatus.CONFLICT.value,
    'the idempotency key was used with another body',
)
RETRY_UNSURE = Kind(
    'retry_unsure',
    HTTPStatus.SERVICE_UNAVAILABLE.value,
    'this attempt did not run; an earlier one may have, as not all data centres were certain',
    5,
)
DEADLINE_PASSED = Kind(
    'deadline_passed', HTTPStatus.GATEWAY_TIMEOUT.value, 'the deadline of the request has passed'
)
TOO_MANY_RECORDS = Kind(
    'too_many_requests_remembered',
    HTTPStatus.SERVICE_UNAVAILABLE.value,
    'the holder of the budget has no room for more requests',
    5,
)
NO_HOLDER = Kind(
    'no_holder',
    HTTPStatus.SERVICE_UNAVAILABLE.value,
    'no holder of the budget could be reached',
    2,
)
NO_COPY = Kind(
    'no_copy',
    HTTPStatus.SERVICE_UNAVAILABLE.value,
    'no second instance could store the dispatch of a request that may not be repeated',
    2,
)
NO_SERVER_TOOK_IT = Kind(
    'no_server_took_it',
    HTTPStatus.SERVICE_UNAVAILABLE.value,
    'no backend server accepted the request',
    1,
)
ANSWER_BROKEN = Kind(
    'answer_broken',
    HTTPStatus.BAD_GATEWAY.value,
    'the backend server was lost in the middle of the answer',
)
OUTCOME_UNKNOWN = Kind(
    'outcome_unknown',
    HTTPStatus.BAD_GATEWAY.value,
    'the backend server was lost; whether the request ran is not known',
)
RUN_FAILED = Kind(
    'run_failed',
    HTTPStatus.BAD_GATEWAY.value,
    'the request ran and gave no complete answer',
)
ANSWER_CANCELLED = Kind(
    'answer_cancelled',
    HTTPStatus.GONE.value,
    'the run of this request was cancelled when its caller disconnected or its deadline passed',
)
ANSWER_GONE = Kind(
    'answer_gone', HTTPStatus.GONE.value, 'the request has run; its answer is no longer kept'
)

KINDS: tuple[Kind, ...] = (
    IDEMPOTENCY_CONFLICT,
    RETRY_UNSURE,
    DEADLINE_PASSED,
    TOO_MANY_RECORDS,
    NO_HOLDER,
    NO_COPY,
    NO_SERVER_TOOK_IT,
    ANSWER_BROKEN,
    OUTCOME_UNKNOWN,
    RUN_FAILED,
    ANSWER_CANCELLED,
    ANSWER_GONE,
)

_CERTAINTY = (NOT_RUN, RUN_UNKNOWN, HAS_RUN)


def weaken(refusal: Refusal, not_run: str) -> Refusal:
    """Return the refusal with the less certain of its ``not_run`` and the given one."""
    weaker = max(refusal.not_run, not_run, key=_CERTAINTY.index)
    return refusal._replace(not_run=weaker)


def to_reply(refusal: Refusal) -> holders_pb2.ClaimReply:
    """Turn a refusal into the reply to a claim."""
    return holders_pb2.ClaimReply(
        verdict='refused',
        code=refusal.code,
        reason=refusal.reason,
        not_run=refusal.not_run,
        retry_after_s=refusal.retry_after_s,
        status=refusal.status,
    )


def from_reply(reply: holders_pb2.ClaimReply) -> Refusal:
    """Turn a refused claim's reply back into the refusal."""
    return Refusal(reply.code, reply.reason, reply.not_run, reply.status, reply.retry_after_s)
