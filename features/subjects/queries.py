"""Subject: the query language, over records of requests."""

from collections.abc import Iterable, Mapping

from hypothesis import given, settings
from hypothesis import strategies as some

from endivesaddle.fleet.errors import UserError
from endivesaddle.operators import query
from endivesaddle.operators.fields import REQUEST_FIELDS
from endivesaddle.operators.language import Form, Item, read_items, write_items
from endivesaddle.wire.holders_pb2 import Record, Step

NOW_UNIX_S = 1_700_000_000.0
_EXAMPLES = 400
_TEXTS = some.text(alphabet=[*'ab1.,:~"- éK', '\t', '\n', '\\'], max_size=8)
_LONG = '9' * 400
_TERMS = some.builds(
    '{}{}:{}{}'.format,
    some.sampled_from(['', '-']),
    some.sampled_from([*REQUEST_FIELDS, 'nothing']),
    some.sampled_from(['', '~', '..', '2h..', '@', '1e9', '2026-12-02', '9999999d', f'{_LONG}d']),
    _TEXTS,
)
_FIELDS = some.from_regex('[a-z][a-z_]{0,8}', fullmatch=True)
_ITEMS = some.one_of(
    some.just(Item(Form.ALTERNATIVE)),
    some.builds(Item, some.just(Form.WORD), some.just(''), _TEXTS, some.just(''), some.booleans()),
    some.builds(
        Item,
        some.sampled_from([Form.EXACT, Form.PART]),
        _FIELDS,
        _TEXTS,
        some.just(''),
        some.booleans(),
    ),
    some.builds(Item, some.just(Form.RANGE), _FIELDS, _TEXTS, _TEXTS, some.booleans()),
)


class Queries:
    """Records, and what a query makes of them."""

    def __init__(self, rows: Iterable[Mapping[str, str]]) -> None:
        """Make a record of each row."""
        self.records = [_record(row) for row in rows]
        self.found: list[str] = []
        self.error = ''

    def ask(self, text: str) -> None:
        """Ask a query; keep the ids that it finds, or its mistake."""
        try:
            matches = query.matcher(text.replace("'", '"'), NOW_UNIX_S)
        except UserError as error:
            self.error = str(error)
            return
        self.found = [
            record.request_key.partition('/')[2] for record in self.records if matches(record)
        ]

    def absolute(self, text: str) -> str:
        """Return a query with absolute times."""
        items = read_items(text.replace("'", '"'))
        written = query.absolute(items, REQUEST_FIELDS, NOW_UNIX_S)
        # An instance reads it without a time of its own.
        query.matcher(written)
        return written.replace('"', "'")

    def survive_any_text(self) -> None:
        """Try texts at random, and terms that are nearly right."""

        @settings(derandomize=True, max_examples=_EXAMPLES, database=None, deadline=None)
        @given(some.one_of(some.text(max_size=30), some.lists(_TERMS, max_size=4).map(' '.join)))
        def check(text: str) -> None:
            try:
                matches = query.matcher(text, NOW_UNIX_S)
            except UserError as error:
                assert str(error)
                return
            query.matcher(query.absolute(read_items(text), REQUEST_FIELDS, NOW_UNIX_S))
            for record in self.records:
                assert matches(record) in {True, False}

        check()

    def survive_writing(self) -> None:
        """Write items at random and read them again."""

        @settings(derandomize=True, max_examples=_EXAMPLES, database=None, deadline=None)
        @given(some.lists(_ITEMS, max_size=5))
        def check(items: list[Item]) -> None:
            again = read_items(write_items(items))
            assert _placeless(again) == _placeless(items), write_items(items)

        check()


def _placeless(items: Iterable[Item]) -> list[Item]:
    return [item._replace(column=0, length=0) for item in items]


def _record(row: Mapping[str, str]) -> Record:
    return Record(
        request_key=f'{row["account"]}/{row["id"]}',
        account=row['account'],
        outcome=row['outcome'],
        used_tokens=int(row['cost']),
        server=row['server'],
        claimed_unix_s=NOW_UNIX_S - int(row['ago_s']),
        provisional=row['provisional'] == 'yes',
        steps=[Step(name='claimed')],
    )
