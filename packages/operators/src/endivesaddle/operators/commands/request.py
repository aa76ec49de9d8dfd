"""request: what became of one request."""

from typing import Any

from endivesaddle.operators import arguments, language
from endivesaddle.operators.command import command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.finder import Found
from endivesaddle.operators.records import claims_of, row_of, story_of
from endivesaddle.operators.reply import EXIT_FAILED, Reply, absent
from endivesaddle.operators.words import Words
from endivesaddle.wire.holders_pb2 import Record

_COLUMNS = ('at_unix_s', 'attempt', 'name', 'instance', 'detail')
_REQUEST_COLUMNS = ('request_key', 'state', 'outcome', 'server', 'used_tokens', 'claimed_unix_s')


@command(
    'request',
    'Tell what became of one request: whether it ran, where, how often, what it cost.',
    'request id:r-17 account:atelier',
    arguments=(
        arguments.word('key', 'account/id of the request', arguments.named, default=''),
        arguments.field(
            'id', 'its id (Idempotency-Key or X-Request-Id)', arguments.anything, default=''
        ),
        arguments.field('account', 'its client account', arguments.named, default=''),
    ),
)
async def run(desk: Desk, words: Words) -> Reply:
    """Ask every router, and tell the request's story with all its steps."""
    found = await _find(desk, words)
    if not found.records:
        return _not_found(found)
    if len(found.records) > 1:
        message = 'several requests have this id; add account:'
        rows = [row_of(record) for record in found.records]
        return Reply([message, *_gaps(found)], _REQUEST_COLUMNS, rows)
    record = found.records[0]
    details = {'record': row_of(record), 'complete': not found.gaps}
    told = [*story_of(record), *claims_of(found.claims), *_gaps(found)]
    return Reply(told, _COLUMNS, _steps(record), details)


async def _find(desk: Desk, words: Words) -> Found:
    account, key = words['account'], words['key']
    request_id = words['id'] or key
    if account and request_id and '/' not in key:
        key = f'{account}/{request_id}'
    if '/' in key:
        return await desk.finder.find(request_key=key, account=key.partition('/')[0])
    if not request_id:
        raise words.wrong('key', 'which request?', ('ACCOUNT/ID', 'id:'))
    item = language.Item(language.Form.EXACT, 'id', request_id)
    return await desk.finder.find(query=str(item))


def _steps(record: Record) -> list[dict[str, Any]]:
    return [
        {
            'at_unix_s': step.at_unix_s,
            'attempt': step.attempt,
            'name': step.name,
            'instance': step.instance,
            'detail': step.detail,
        }
        for step in record.steps
    ]


def _not_found(found: Found) -> Reply:
    if not found.gaps:
        return absent('no instance knows this request: it was not claimed, or long ago')
    message = 'not found, but not everyone could be asked: whether it ran is unknown'
    return Reply([message, *_gaps(found)], status=EXIT_FAILED, found=False)


def _gaps(found: Found) -> list[str]:
    return [f'incomplete: {gap}' for gap in found.gaps]
