"""Queries: all terms of an alternative hold, and a comma parts alternatives.

``requests account:atelier cost:1000.. , outcome:unknown -server:porto-b/llm-3``
"""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from endivesaddle.operators import terms
from endivesaddle.operators.fields import REQUEST_FIELDS, Fields
from endivesaddle.operators.language import Form, Item, read_items, write_items
from endivesaddle.operators.mistakes import mistake
from endivesaddle.operators.values import time


class _Signed(NamedTuple):
    term: terms.Term
    negated: bool

    def holds(self, record: Any) -> bool:
        return self.term.matches(record) != self.negated


class Query:
    """A parsed query over records or rows."""

    def __init__(self, alternatives: Sequence[Sequence[_Signed]]) -> None:
        """Match any of the alternatives; without one, everything."""
        self._alternatives = alternatives

    def matches(self, record: Any) -> bool:
        """Tell whether a record is meant."""
        if not self._alternatives:
            return True
        return any(all(term.holds(record) for term in group) for group in self._alternatives)


def matcher(text: str, now_unix_s: float | None = None) -> Callable[[Any], bool]:
    """Return the condition on records of requests that a text stands for.

    ``since:2h`` is relative to ``now_unix_s``; raises ``UserError`` that points at
    the mistake.
    """
    return parse(text, read_items(text), REQUEST_FIELDS, now_unix_s).matches


def parse(line: str, items: Sequence[Item], fields: Fields, now_unix_s: float | None) -> Query:
    """Return the query of items that were read from ``line``."""
    alternatives: list[list[_Signed]] = [[]]
    for item in items:
        if item.form is Form.ALTERNATIVE:
            alternatives.append([])
        else:
            term = _term(line, item, fields, now_unix_s)
            alternatives[-1].append(_Signed(term, item.negated))
    if len(alternatives) > 1 and not all(alternatives):
        raise mistake(line, _comma(items), 'a comma parts two alternatives', fields)
    return Query([group for group in alternatives if group])


def absolute(items: Sequence[Item], fields: Fields, now_unix_s: float) -> str:
    """Write a query with its relative times turned into Unix seconds.

    Every instance that is asked then means the same moment.
    """
    return write_items([_absolute(item, fields, now_unix_s) for item in items])


def _absolute(item: Item, fields: Fields, now_unix_s: float) -> Item:
    if item.field not in fields or fields[item.field].kind.name != 'time':
        return item
    return item._replace(low=_moment(item.low, now_unix_s), high=_moment(item.high, now_unix_s))


def _moment(text: str, now_unix_s: float) -> str:
    if not text:
        return ''
    low_unix_s, high_unix_s = time(text, now_unix_s)
    return f'@{low_unix_s:.6f}' if low_unix_s == high_unix_s else text


def _term(line: str, item: Item, fields: Fields, now_unix_s: float | None) -> terms.Term:
    if item.form is Form.WORD:
        message = 'a term is written field:value, field:~part or field:low..high'
        raise mistake(line, item.column, message, _names(fields), item.length)
    if item.field not in fields:
        message = f'there is no field {item.field!r} here'
        raise mistake(line, item.column, message, _names(fields), len(item.field))
    try:
        return terms.build(fields[item.field], item, now_unix_s)
    except ValueError as error:
        message = f'{item.field}: {error}'
        raise mistake(line, item.column, message, length=item.length) from None


def _names(fields: Fields) -> list[str]:
    return [f'{name}:' for name in sorted(fields)]


def _comma(items: Sequence[Item]) -> int:
    return next(item.column for item in items if item.form is Form.ALTERNATIVE)
