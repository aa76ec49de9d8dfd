"""Log events of requests."""

from typing import Final

from endivesaddle.fleet.events import event

TASK_FAILED: Final = event(
    2001, 'ERROR', 'request.task_failed', 'A background task of a request failed with an exception.'
)
CLAIM_REFUSED: Final = event(
    2002, 'INFO', 'request.claim_refused', 'A holder refused a claim; "code" says why.'
)
CLAIM_YIELDED: Final = event(
    2003,
    'INFO',
    'request.claim_yielded',
    'Two claims crossed, and the one of another data centre had precedence.',
)
PROVISIONAL: Final = event(
    2004, 'WARNING', 'request.provisional',
    'A request runs although a data centre could not be queried; its bill is provisional.',
)  # fmt: skip
RESOLVED: Final = event(
    2005,
    'INFO',
    'request.resolved',
    'A provisional bill was settled, or dropped for that of another data centre.',
)
CLOSED: Final = event(
    2006,
    'WARNING',
    'request.closed',
    'A request was closed because no outcome was reported by its deadline.',
)
LATE_ATTEMPT: Final = event(
    2007,
    'INFO',
    'request.late_attempt',
    'An older attempt reported an outcome; only the newer attempt is billed.',
)
SIDECAR_LOST: Final = event(
    2010, 'WARNING', 'request.sidecar_lost', 'A router gave up on the sidecar of a run.'
)
ANSWER_BROKEN: Final = event(
    2011, 'WARNING', 'request.answer_broken', 'A streamed answer broke off before its end.'
)
OUTCOME_UNKNOWN: Final = event(
    2012, 'WARNING', 'request.outcome_unknown',
    'It is not known whether a request that may not be repeated has run.',
)  # fmt: skip
SETTLE_DELAYED: Final = event(
    2013,
    'WARNING',
    'request.settle_delayed',
    'No holder accepted a settlement; it will be retried.',
)
SETTLE_GIVEN_UP: Final = event(
    2014, 'ERROR', 'request.settle_given_up', 'No holder accepted a settlement by its deadline.'
)
RECORDS_DROPPED: Final = event(
    2020,
    'WARNING',
    'request.records_dropped',
    'Ended records were dropped because too many waited for the store.',
)
RECORDS_DELAYED: Final = event(
    2021,
    'WARNING',
    'request.records_delayed',
    'A batch of records could not be written; it will be retried.',
)
RECORDS_BROKEN: Final = event(
    2022, 'ERROR', 'request.records_broken', 'A batch of records in the store could not be decoded.'
)
