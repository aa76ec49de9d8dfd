"""explain: tell one request's story from the logs of many processes.

The routers may be gone, and what they knew with them; their logs stay.  Around
the request's own lines stand those that tell what its router believed then.
"""

import pathlib
import re
from collections.abc import Iterable, Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Any

from endivesaddle.fleet.decoding import UnreadableValue, decode_json
from endivesaddle.fleet.errors import UserError
from endivesaddle.operators.local_command import Invocation, local_command
from endivesaddle.operators.reply import Reply

BELIEFS = frozenset(
    (
        'data_centre_evacuated',
        'data_centre_taken_back',
        'facts_from_router',
        'grant_unwritten',
        'process_leaving',
        'process_started',
        'routes_in_force',
        'server_withdrawn',
        'routes_store_lost',
        'routes_store_regained',
    )
)
"""Events that change what a router believes; the last of each before the request is shown."""
COLUMNS = ('at_unix_s', 'instance', 'event', 'name', 'said')
ENDS = MappingProxyType(
    {
        'forward_answered': 'a whole answer:',
        'forward_broken': 'an answer cut midway:',
        'forward_caller_gone': 'nothing, it left',
        'forward_refused': 'a refusal:',
        'forward_refused_after_sending': 'a refusal:',
    }
)
"""What the caller got, by the event that tells; the first that is there counts."""
OWN = frozenset(('at_unix_s', 'level', 'instance', 'event', 'name', 'request_id'))
START = re.compile('[{]')
"""What stands before the object on a line (a collector's time and name) is passed over."""


@local_command('explain', 'Tell what became of a request, from log files.', 'explain ID --log FILE')
def explain(invocation: Invocation) -> Reply:
    """Put the lines of one request in order, with what its routers believed."""
    words = invocation.words[1:]
    if len(words) != 1 or not invocation.logs:
        raise UserError('explain takes one id and files: explain ID --log FILE --log FILE')
    lines, bad_lines = _read(invocation.logs)
    own = [line for line in lines if line.get('request_id') == words[0]]
    messages = [f'{bad_lines} lines could not be read'] if bad_lines else []
    if not own:
        return Reply([*messages, f'no line in these files names {words[0]}'], found=False)
    story = sorted([*_beliefs(lines, own), *own], key=_time)
    return Reply([*messages, _outcome(own)], COLUMNS, [_row(line) for line in story])


def _read(files: Sequence[str]) -> tuple[list[dict[str, Any]], int]:
    """Return all lines, and how many could not be read; raises ``UserError`` for a file."""
    lines: list[dict[str, Any]] = []
    bad_lines = 0
    for name in files:
        for text in _texts(name):
            line = line_fields(text)
            if line:
                lines.append(line)
            else:
                bad_lines += 1
    return lines, bad_lines


def _texts(name: str) -> Iterator[str]:
    try:
        text = pathlib.Path(name).read_text(errors='replace')
    except OSError as error:
        raise UserError(f'{name} can not be read: {error.strerror}') from error
    return (line for line in text.splitlines() if line.strip())


def line_fields(text: str) -> dict[str, Any]:
    """Return one line's fields, nothing where it is no line of ours."""
    begun = START.search(text)
    if begun is None:
        return {}
    try:
        fields = decode_json(text[begun.start() :])
    except UnreadableValue:
        return {}
    return fields if isinstance(fields, dict) and 'name' in fields else {}


def _beliefs(
    lines: Iterable[Mapping[str, Any]], own: Sequence[Mapping[str, Any]]
) -> Iterator[Mapping[str, Any]]:
    """Yield the last belief of each kind, at the request's routers, by the request's end."""
    instances = {line.get('instance') for line in own}
    end_unix_s = max(_time(line) for line in own)
    last: dict[tuple[Any, Any], Mapping[str, Any]] = {}
    for line in sorted(lines, key=_time):
        if line['name'] in BELIEFS and line.get('instance') in instances:
            if _time(line) <= end_unix_s:
                last[line.get('instance'), line['name']] = line
    yield from last.values()


def _outcome(own: Sequence[Mapping[str, Any]]) -> str:
    """Sum up what the caller got."""
    told = {line['name']: line for line in sorted(own, key=_time)}
    sendings = sum(line['name'] == 'forward_placed' for line in own)
    spent = told.get('forward_settled', {}).get('spent_tokens', 0)
    got = next((told[name] for name in ENDS if name in told), {})
    what = ENDS.get(got.get('name', ''), 'what these lines do not tell')
    why = ' '.join(str(got[name]) for name in ('status', 'code', 'reason') if name in got)
    return f'sent {sendings} times, spent {spent} tokens; the caller got {what} {why}'.strip()


def _row(line: Mapping[str, Any]) -> dict[str, Any]:
    said = ' '.join(f'{name}={field}' for name, field in line.items() if name not in OWN)
    return {**{name: line.get(name, '') for name in COLUMNS if name != 'said'}, 'said': said}


def _time(line: Mapping[str, Any]) -> float:
    return float(line.get('at_unix_s', 0))
