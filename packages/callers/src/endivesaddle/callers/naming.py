"""Request ids, and what they say about earlier attempts."""

import re
import uuid
from typing import NamedTuple

from endivesaddle.callers.exchange import Exchange
from endivesaddle.callers.refusals import Invalid

IDEMPOTENCY_KEY = 'idempotency-key'
RETRY_COUNT = 'x-stainless-retry-count'

_ALLOWED = re.compile(r'[A-Za-z0-9._:+=@-]{1,128}')


class Name(NamedTuple):
    """A request's id; ``first_attempt`` is True only if that is certain.

    It is certain for an id generated here, as no other instance knows it. For an id of the
    caller, it is certain only if the caller's retry counter is 0.
    """

    request_id: str
    named: bool
    first_attempt: bool


def read_name(exchange: Exchange) -> Name | Invalid:
    """Return the id of a request, or the error in its Idempotency-Key."""
    key = exchange.headers.get(IDEMPOTENCY_KEY)
    if key is None:
        return Name(str(uuid.uuid4()), named=False, first_attempt=True)
    if _ALLOWED.fullmatch(key) is None:
        return Invalid(
            'invalid_idempotency_key',
            'Idempotency-Key must have 1 to 128 letters, digits and any of . _ : + = @ -',
            IDEMPOTENCY_KEY,
        )
    return Name(key, named=True, first_attempt=exchange.headers.get(RETRY_COUNT) == '0')
