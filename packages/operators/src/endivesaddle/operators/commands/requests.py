"""requests: find requests by a query."""

from endivesaddle.operators import query
from endivesaddle.operators.command import command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.fields import REQUEST_FIELDS
from endivesaddle.operators.records import row_of
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.words import Words

_COLUMNS = (
    'claimed_unix_s', 'request_key', 'state', 'outcome', 'attempt', 'server', 'used_tokens',
    'bound_tokens',
)  # fmt: skip


@command(
    'requests',
    'Find requests by a query, the newest first.',
    'requests account:atelier cost:1000.. since:2h outcome:unknown',
    fields=REQUEST_FIELDS,
)
async def run(desk: Desk, words: Words) -> Reply:
    """Ask every router for the records that match."""
    now_unix_s = words.given.now_unix_s
    query.parse(words.line, words.query, REQUEST_FIELDS, now_unix_s)
    text = query.absolute(words.query, REQUEST_FIELDS, now_unix_s)
    found = await desk.finder.find(query=text)
    messages = [f'incomplete: {gap}' for gap in found.gaps]
    if len(found.records) >= desk.settings.most_rows:
        messages.append(f'the {desk.settings.most_rows} newest only; narrow the query')
    rows = [row_of(record) for record in found.records]
    return Reply(messages, _COLUMNS, rows, {'complete': not found.gaps})
