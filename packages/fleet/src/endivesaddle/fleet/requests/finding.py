"""Search of records by key or by a predicate."""

import operator
from collections.abc import Callable, Iterable

from endivesaddle.fleet.errors import UserError
from endivesaddle.wire import holders_pb2

Matcher = Callable[[str], Callable[[holders_pb2.Record], bool]]
"""Turns the terms of a query into a predicate; raises ``UserError``."""

MAX_ROWS = 200
"""Maximum number of records returned if the query gives none."""


def match_field(query: str) -> Callable[[holders_pb2.Record], bool]:
    """Return a predicate that requires all ``field:value`` terms; an empty query matches all.

    Raises ``UserError`` for an unknown field.
    """
    wanted = dict(_parse_term(term) for term in query.split())

    def matches(record: holders_pb2.Record) -> bool:
        return all(str(getattr(record, name)) == text for name, text in wanted.items())

    return matches


def _parse_term(term: str) -> tuple[str, str]:
    name, colon, text = term.partition(':')
    if not colon or name not in holders_pb2.Record.DESCRIPTOR.fields_by_name:
        raise UserError(f'{name!r} is not a field of a record')
    return name, text


def find_in(
    message: holders_pb2.FindRequest,
    records: Iterable[holders_pb2.Record],
    matcher: Matcher,
) -> holders_pb2.FindReply:
    """Return the matching records, one for each claim of a request, newest first."""
    try:
        matches = matcher(message.query)
    except UserError as error:
        return holders_pb2.FindReply(reason=str(error))
    found = merge(
        record for record in records if _is_requested(message, record) and matches(record)
    )
    max_rows = message.most or MAX_ROWS
    return holders_pb2.FindReply(records=found[:max_rows], complete=len(found) <= max_rows)


def merge(records: Iterable[holders_pb2.Record]) -> list[holders_pb2.Record]:
    """Merge the copies of each claim into one record with the steps of all; newest first."""
    claims: dict[tuple[str, str], list[holders_pb2.Record]] = {}
    for record in records:
        claims.setdefault((record.request_key, record.data_centre), []).append(record)
    whole = [_combine(copies) for copies in claims.values()]
    return sorted(whole, key=operator.attrgetter('claimed_unix_s'), reverse=True)


def _combine(copies: list[holders_pb2.Record]) -> holders_pb2.Record:
    """Return the most complete copy, with the steps of all copies.

    Failure: a holder dies after it wrote the record, and its successor writes what the
    sidecars reported. Symptom: the later record has no claim and no dispatch step, and
    support engineers can't see which router received the request.
    """
    fullest = max(copies, key=_fullness)
    if len(copies) == 1:
        return fullest
    steps = {step.SerializeToString(): step for copy in copies for step in copy.steps}
    whole = holders_pb2.Record()
    whole.CopyFrom(fullest)
    whole.ClearField('steps')
    whole.steps.extend(sorted(steps.values(), key=operator.attrgetter('at_unix_s')))
    return whole


def _is_requested(message: holders_pb2.FindRequest, record: holders_pb2.Record) -> bool:
    if message.account and record.account != message.account:
        return False
    return message.request_key in {'', record.request_key}


def _fullness(record: holders_pb2.Record) -> tuple[int, int, float, int]:
    return (record.epoch, record.attempt, record.ended_unix_s, len(record.steps))
