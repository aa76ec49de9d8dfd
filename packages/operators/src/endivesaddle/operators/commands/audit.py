"""audit: who changed what, when, before and after."""

from typing import Any

from endivesaddle.fleet.sentinels import Absent
from endivesaddle.operators import audit, query
from endivesaddle.operators.command import command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.fields import AUDIT_FIELDS
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.values import time
from endivesaddle.operators.words import Words

_COLUMNS = ('when_unix_s', 'who', 'change_id', 'outcome', 'revision', 'summary')
_DEFAULT_S = 24 * 60 * 60


@command(
    'audit',
    'Tell who changed what and when, of the last 24 hours or since: (31 days at the most).',
    'audit since:3d who:ines touched:~account/atelier',
    fields=AUDIT_FIELDS,
)
async def run(desk: Desk, words: Words) -> Reply:
    """Read the audit records of some days; with one match, before and after too."""
    now_unix_s = words.given.now_unix_s
    condition = query.parse(words.line, words.query, AUDIT_FIELDS, now_unix_s)
    entries = await desk.audit.entries(_since(words), now_unix_s, desk.deadline_unix_s())
    standing = await _standing(desk)
    rows = [_row(entry, standing) for entry in entries]
    matching = [row for row in rows if condition.matches(row)]
    messages = _details(matching[0]) if len(matching) == 1 else []
    return Reply(messages, _COLUMNS, matching[-desk.settings.most_rows :])


def _since(words: Words) -> float:
    now_unix_s = words.given.now_unix_s
    starts = [
        time(item.low, now_unix_s)[0]
        for item in words.query
        if item.field in {'since', 'when'} and item.low
    ]
    return min(starts, default=now_unix_s - _DEFAULT_S)


async def _standing(desk: Desk) -> dict[str, int]:
    """Return the changes that the head proves to be accepted, with their revision."""
    loaded = await desk.configurations.load(desk.deadline_unix_s())
    if isinstance(loaded, Absent):
        return {}
    return {change['change_id']: change['revision'] for change in loaded.head['changes']}


def _row(entry: audit.Entry, standing: dict[str, int]) -> dict[str, Any]:
    row: dict[str, Any] = {**entry, 'touched': list(entry['touched'])}
    revision = standing.get(entry['change_id'])
    if revision is not None:
        row.update(outcome=audit.ACCEPTED, revision=revision)
    return row


def _details(row: dict[str, Any]) -> list[str]:
    changed = zip(row['touched'], row['before'], row['after'], strict=False)
    if not row['before']:
        return list(row['after'])
    return [
        f'{name}: {before or "nothing"} -> {after or "nothing"}' for name, before, after in changed
    ]
