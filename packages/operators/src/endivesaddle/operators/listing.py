"""List the rows that a command's query means."""

from collections.abc import Mapping, Sequence
from typing import Any

from endivesaddle.operators import query
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.fields import Fields
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.words import Words


def listed(
    desk: Desk,
    words: Words,
    fields: Fields,
    columns: Sequence[str],
    rows: Sequence[Mapping[str, Any]],
) -> Reply:
    """Return the rows that match, as many as a reply holds."""
    condition = query.parse(words.line, words.query, fields, words.given.now_unix_s)
    matching = [row for row in rows if condition.matches(row)]
    most = desk.settings.most_rows
    messages = [] if len(matching) <= most else [f'{most} of {len(matching)}; narrow the query']
    return Reply(messages, columns, matching[:most], {'count': len(matching)})
