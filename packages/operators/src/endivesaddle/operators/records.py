"""Records of requests as rows and as the story that support engineers tell."""

import operator
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Any

from endivesaddle.operators.fields import REQUEST_FIELDS
from endivesaddle.operators.values import iso
from endivesaddle.wire.holders_pb2 import Record, Step

_RECEIVED: Mapping[str, str] = MappingProxyType(
    {
        'answered': 'the whole answer was given',
        'cancelled': 'it was cancelled before its end',
        'failed': 'the backend server failed; the caller got an error',
        'refused': 'it was refused',
        'unknown': 'whether it ran to its end is unknown; the caller was told so',
    }
)


def row_of(record: Record) -> dict[str, Any]:
    """Return a record as a row; its id apart from its account."""
    row = {field.name: getattr(record, field.name) for field in record.DESCRIPTOR.fields}
    row['id'] = REQUEST_FIELDS['id'].read(record)
    row['unasked'] = list(record.unasked)
    row['steps'] = [
        {field.name: getattr(step, field.name) for field in step.DESCRIPTOR.fields}
        for step in record.steps
    ]
    return row


def story_of(record: Record) -> list[str]:
    """Return what became of a request in a few lines."""
    lines = [
        f'request {record.request_key} ({record.target or "unknown target"})',
        f'ran: {_ran(record)}',
        f'cost: {_cost(record)}',
        f'caller: {_received(record)}',
    ]
    lines.extend(
        f'also told at {iso(step.at_unix_s)}: {step.detail}' for step in _told_beside(record)
    )
    if record.provisional:
        asked = ', '.join(record.unasked) or 'a data centre'
        lines.append(f'provisional: {asked} could not be asked yet; the tokens stay reserved')
    return lines


def claims_of(copies: Iterable[Record]) -> list[str]:
    """Return a line for each data centre's claim, where several claimed one request.

    One of them may have run it and another been refused; two that were billed would
    be a fault, and must be seen.
    """
    furthest: dict[str, Record] = {}
    for copy in copies:
        known = furthest.get(copy.data_centre)
        if known is None or len(copy.steps) > len(known.steps):
            furthest[copy.data_centre] = copy
    if len(furthest) < 2:
        return []
    return [
        f'claimed at {name or "an unknown data centre"}: {claim.state}, {claim.used_tokens} tokens'
        for name, claim in sorted(furthest.items())
    ]


def _ran(record: Record) -> str:
    if not record.attempt or not record.server:
        return 'not dispatched to any backend server'
    times = 'once' if record.attempt == 1 else f'dispatched {record.attempt} times, last'
    repeat = 'may be repeated' if record.may_repeat else 'may not be repeated'
    return f'{times} at {record.server} ({repeat})'


def _cost(record: Record) -> str:
    if record.state == 'ended':
        return f'{record.used_tokens} tokens billed (at most {record.bound_tokens} reserved)'
    if record.state == 'refused':
        return 'nothing billed'
    return f'not billed yet; {record.bound_tokens} tokens reserved'


def _received(record: Record) -> str:
    if record.outcome:
        told = _RECEIVED.get(record.outcome, record.outcome)
        status = f', status {record.refusal_status}' if record.refusal_status else ''
        at = f' at {iso(record.ended_unix_s)}' if record.ended_unix_s else ''
        return f'{told}{status}{at}{_why(record)}'
    return f'still waiting ({record.state or "no state"})'


def _why(record: Record) -> str:
    """Return the refusal that the caller of a refused request heard last, where it is known."""
    told = _told(record)
    return f': {told[-1].detail}' if told and record.outcome == 'refused' else ''


def _told_beside(record: Record) -> list[Step]:
    """Return the refusals of other calls: before the one that ran, or beside it."""
    told = _told(record)
    return told[:-1] if record.outcome == 'refused' else told


def _told(record: Record) -> list[Step]:
    told = [step for step in record.steps if step.name == 'told']
    return sorted(told, key=operator.attrgetter('at_unix_s'))
