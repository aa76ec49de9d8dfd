"""Refusals by the HTTP interface itself, and the format of all refusals.

The codes are listed in docs/REFUSALS.md and must not change.
"""

from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, NamedTuple

import msgspec

from endivesaddle.fleet.sentinels import HAS_RUN, NOT_RUN, RUN_UNKNOWN, Refusal


class Invalid(NamedTuple):
    """The error in a request; ``param`` names the field or header."""

    code: str
    reason: str
    param: str = ''
    status: int = HTTPStatus.BAD_REQUEST
    retry_after_s: float = 0


_NOT_RUN_JSON: Mapping[str, bool | str] = MappingProxyType(
    {NOT_RUN: True, HAS_RUN: False, RUN_UNKNOWN: RUN_UNKNOWN}
)
_TYPES = (
    (HTTPStatus.UNAUTHORIZED, 'authentication_error'),
    (HTTPStatus.FORBIDDEN, 'permission_error'),
    (HTTPStatus.NOT_FOUND, 'not_found_error'),
    (HTTPStatus.CONFLICT, 'conflict_error'),
    (HTTPStatus.TOO_MANY_REQUESTS, 'rate_limit_error'),
)
_TYPE_OF_STATUS = MappingProxyType({status.value: name for status, name in _TYPES})
_ERROR_TYPE = 'invalid_request_error'
_SERVER_TYPE = 'server_error'


def refuse(invalid: Invalid, no_earlier_attempt: bool) -> Refusal:
    """Turn bad input into a refusal of the request as a whole.

    This attempt was not passed on to any instance. ``no_earlier_attempt`` is set if the same
    request can't have an earlier attempt, so that "not run" is certain; otherwise an earlier
    attempt may have run, and this router can't know that.
    """
    return Refusal(
        code=invalid.code,
        reason=invalid.reason,
        not_run=NOT_RUN if no_earlier_attempt else RUN_UNKNOWN,
        status=int(invalid.status),
        retry_after_s=invalid.retry_after_s,
    )


def error_body(refusal: Refusal, request_id: str = '', param: str = '') -> bytes:
    """Return the JSON body of a refusal in OpenAI's format."""
    return msgspec.json.encode(error_document(refusal, request_id, param))


def error_document(refusal: Refusal, request_id: str = '', param: str = '') -> dict[str, Any]:
    """Return the document of a refusal in OpenAI's format."""
    error: dict[str, Any] = {
        'message': refusal.reason,
        'type': _type(refusal.status),
        'code': refusal.code,
        'param': param or None,
        'not_run': _NOT_RUN_JSON[refusal.not_run],
        'request_id': request_id or None,
    }
    return {'error': error}


def _type(status: int) -> str:
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return _SERVER_TYPE
    return _TYPE_OF_STATUS.get(status, _ERROR_TYPE)
